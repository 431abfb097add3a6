"""The agent of one machine: finds its instances, rolls configuration out to them and reports their state."""
