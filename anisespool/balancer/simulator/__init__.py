"""The operators' simulator: its wire, and a process that hosts decision modules on it."""
