"""Configuration as frozen, checked types: the platform's and the operator's, and the wall clock."""
