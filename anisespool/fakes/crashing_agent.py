"""An agent that kills itself at a crash point.

`python -m anisespool.fakes.crashing_agent FILE POINT COUNT` runs with the operator's file FILE, and kills
itself the COUNTth time that it reaches the `CrashPoint` with the number POINT.
"""

from __future__ import annotations

import os
import signal
import sys

from anisespool.agent.crash_points import CrashPoint
from anisespool.agent.main import main
from anisespool.config.operator import read_operator_config


class KillAtPoint:
    """A crash hook that sends its own process SIGKILL the nth time that it reaches a point."""

    def __init__(self, point: CrashPoint, count: int) -> None:
        self._point = point
        self._remaining = count

    def __call__(self, point: CrashPoint) -> None:
        """Count the point if it is the configured one; kill the process the nth time."""
        if point is not self._point:
            return
        self._remaining -= 1
        if not self._remaining:
            os.kill(os.getpid(), signal.SIGKILL)


if __name__ == "__main__":
    _, config_file, point_number, crash_count = sys.argv
    hook = KillAtPoint(CrashPoint(int(point_number)), int(crash_count))
    sys.exit(main(read_operator_config(config_file), hook))
