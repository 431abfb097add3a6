"""Compares the decisions of this checkout with those of an older one, on the same seeded event streams.

It is run by hand. The exit status is 1 if an action differs, including its text for the log:

    python -m tests.golden.compare_checkouts OLDER_CHECKOUT --seeds 500
    python -m tests.golden.compare_checkouts OLDER_CHECKOUT --golden

The first form plays the worlds of the golden streams with new seeds, the second plays the golden streams to
their ends. The world of a stream reacts to the older program's actions.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.golden.decision_streams import CHECKPOINT_EVENTS, World, load_plans
from tests.golden.simulator_wire import ROOT, DecisionProgram

FIRST_NEW_SEED = 1_000_000
EVENTS_PER_SEED = 1_000
PROCESSES = 4


@dataclass(frozen=True)
class Stream:
    """A world to play, and the number of events after which it ends."""

    plan: dict[str, Any]
    events: int


@dataclass(frozen=True)
class Comparison:
    """The result of one stream played through both programs.

    `difference` is the first one, or empty if there is none.
    """

    name: str
    events: int
    actions: int
    difference: str


def compare(stream: Stream, older: Path) -> Comparison:
    """Feed both programs the same batches, and compare each batch's actions in order."""
    world = World(stream.plan)
    name = f"{stream.plan['name']} seed {stream.plan['seed']}"
    programs = [DecisionProgram(older), DecisionProgram(ROOT)]
    actions = 0
    try:
        while world.event_count < stream.events:
            batch = world.next_batch()
            expected, found = (program.exchange(world.now, batch) for program in programs)
            if expected != found:
                pairs = zip([*expected, None], [*found, None], strict=False)
                first = next(pair for pair in pairs if pair[0] != pair[1])
                return Comparison(name, world.event_count, actions, f"{first[0]} became {first[1]}")
            actions += len(expected)
            for action in expected:
                world.apply(action)
    finally:
        for program in programs:
            program.close()
    return Comparison(name, world.event_count, actions, "")


def new_streams(count: int) -> Iterator[Stream]:
    """Yield the golden streams' worlds in turn, each with a new seed."""
    plans = load_plans()
    for number in range(count):
        plan = plans[number % len(plans)] | {"seed": FIRST_NEW_SEED + number}
        yield Stream(plan, EVENTS_PER_SEED)


def golden_streams() -> Iterator[Stream]:
    """Yield the golden streams, to their ends."""
    for plan in load_plans():
        yield Stream(plan, CHECKPOINT_EVENTS * len(plan["checkpoints"]))


def main() -> int:
    """Compare all streams, and return 1 as the exit status if one of them differs."""
    parser = argparse.ArgumentParser(description="Compare the decisions of two checkouts.")
    parser.add_argument("older", type=Path, metavar="OLDER_CHECKOUT")
    parser.add_argument("--seeds", type=int, default=0)
    parser.add_argument("--golden", action="store_true")
    arguments = parser.parse_args()
    streams = [*new_streams(arguments.seeds), *(golden_streams() if arguments.golden else ())]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(compare, streams, [arguments.older] * len(streams)))
    for result in results:
        if result.difference:
            print(f"{result.name}: after {result.events} events: {result.difference}")
    differing = sum(bool(result.difference) for result in results)
    events = sum(result.events for result in results)
    actions = sum(result.actions for result in results)
    print(f"{len(results)} streams, {events} events, {actions} actions, {differing} streams differ")
    return 1 if differing or not results else 0


if __name__ == "__main__":
    sys.exit(main())
