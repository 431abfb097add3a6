"""Rollout logic without I/O: states and limits of a rollout, status of each instance, and the next step."""
