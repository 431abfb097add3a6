"""One sidecar process: start, reload and graceful shutdown.

`program` is the process with its signals, standard error and exit status. `composition` builds and runs the
components of a sidecar. Features that an operator's file enables (`optional_features`) are imported only with
such a file.
"""

from anisespool.sidecar.composition import run
from anisespool.sidecar.process_signals import Signals
from anisespool.sidecar.program import main

__all__ = ["Signals", "main", "run"]
