"""Plays runs of the soak by hand: `python -m tests.soak --seeds 1-50 --jobs 4`."""

from __future__ import annotations

import argparse
import json
import multiprocessing
import sys
from dataclasses import asdict

from tests.soak.play import exit_on_sigterm, play


def main() -> int:
    """Play the runs, print one JSON object a line, and return 1 if a rule was broken or a sidecar crashed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="first and last seed")
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    broken = 0
    with multiprocessing.get_context("spawn").Pool(arguments.jobs, exit_on_sigterm) as pool:
        for result in pool.imap(play, range(int(first), int(last or first) + 1)):
            broken += result.is_broken
            print(json.dumps(asdict(result)), flush=True)
    print(f"{broken} runs broken", file=sys.stderr)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
