"""The lab: runs scenarios on a simulated fleet or on real processes, and searches for rule violations."""
