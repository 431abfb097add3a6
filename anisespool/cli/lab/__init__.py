"""`anisespool lab`: simulations of the fleet, and runs with real processes.

Importing this package imports numpy and the whole lab, so it is only imported for this command.
"""

from anisespool.cli.lab.application import app

__all__ = ["app"]
