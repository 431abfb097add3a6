"""Explicit-state exploration of small instances of a protocol, to find violated invariants."""
