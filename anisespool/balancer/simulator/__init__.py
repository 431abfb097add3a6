"""The operators' simulator: its protocol's codec, and a process that hosts decision modules."""
