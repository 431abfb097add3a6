"""The operators' simulator: the codec of its binary protocol, and a process that hosts decision modules."""
