"""Helpers with which the tests of several packages run sidecars and fleets."""
