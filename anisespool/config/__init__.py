"""The configuration of the platform and of the operator as validated, immutable types, and the wall clock."""
