"""Endpoint selection: the subset, the eligible endpoints in it, then a weighted random choice."""
