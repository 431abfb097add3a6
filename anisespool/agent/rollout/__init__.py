"""Rollout of a change, pure: its states and bounds, each instance's status, the next step of a rollout."""
