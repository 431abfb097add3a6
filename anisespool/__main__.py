"""Entry point of the sidecar, which the platform starts without arguments, and of the command line."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run the sidecar or the command line, and return the exit status.

    The arguments of `sidecar` are parsed here by hand, because importing the command line's parser would cost
    each sidecar several MB of memory for as long as it runs.
    """
    arguments = sys.argv[1:]
    if not arguments or arguments[0] == "sidecar" and _are_sidecar_arguments(arguments[1:]):
        # Pending until the sidecar handles it (sidecar/process_signals.py). By default it ends the process,
        # and the imports take a tenth of a second.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        from anisespool.sidecar import main as run_sidecar

        return run_sidecar(arguments[2] if len(arguments) == 3 else None)
    from anisespool.cli.main import main as run_command

    return run_command()


def _are_sidecar_arguments(arguments: list[str]) -> bool:
    """Return whether nothing or only `--config FILE` follows `sidecar`; the command line reports the rest."""
    return not arguments or len(arguments) == 2 and arguments[0] == "--config"


if __name__ == "__main__":
    sys.exit(main())
