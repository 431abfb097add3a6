"""Sidecars among themselves: the UDP transport of rules/members and its life. Loaded only with `[peers]`."""
