"""Runs one benchmark: `python -m benchmarks NAME [--json]`. Exit status 1 if an objective is missed."""

from __future__ import annotations

import sys

from benchmarks.runner import main

if __name__ == "__main__":
    sys.exit(main())
