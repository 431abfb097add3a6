"""Benchmarks that take too long for CI: `python -m benchmarks NAME [--json]`."""
