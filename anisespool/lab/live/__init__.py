"""Runs a scenario with many real processes and a faulty network between them, over loopback only."""
