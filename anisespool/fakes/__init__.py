"""Test doubles of what a sidecar and its agent talk to, for the tests, the benchmarks, the demo and the lab.

They are written from public specifications and the project's own pages, share no code with what they test,
and use only loopback. Nothing of a sidecar imports them.
"""
