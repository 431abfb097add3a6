"""A random search for scenarios that break a rule or lose much service, and mutations that verify it."""
