"""No words: the sidecar as the platform starts it, and nothing else is imported. With words: the command."""

from __future__ import annotations

import sys


def main() -> int:
    from anisespool.instance import main as sidecar

    return sidecar()


if __name__ == "__main__":
    sys.exit(main())
