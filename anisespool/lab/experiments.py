"""Runs, sweeps and comparisons, in several processes; comparisons are paired by seed.

A run is decided by its scenario, its policy, its seed and the code itself: its key is a digest of these.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from anisespool import balancer
from anisespool.lab import scenario as scenarios
from anisespool.lab.model.policies import POLICIES
from anisespool.lab.model.timeline import ScenarioRun, TimelineSampler, utilization
from anisespool.lab.model.world import World
from anisespool.lab.results import Result, Results
from anisespool.lab.scenario import Scenario, ScenarioError

BOOTSTRAP_DRAWS = 2000
CONFIDENCE = 0.95
LAB = Path(__file__).parent
CODE_FOLDERS = (Path(balancer.__file__).parent, LAB, LAB / "model", LAB / "scenario")


class Case(NamedTuple):
    """One run to be made."""

    name: str
    scenario: Scenario
    policy: str
    seed: int


def code_digest() -> str:
    """A digest of the code that decides a run, so that results of other code are not taken for this one's."""
    digest = hashlib.blake2b(digest_size=8)
    for folder in CODE_FOLDERS:
        for path in sorted(folder.glob("*.py")):
            digest.update(path.read_bytes())
    return digest.hexdigest()


def run_key(case: Case, code: str) -> str:
    """A digest of all that decides a run; `code` is `code_digest`'s."""
    decisive = b"\0".join((scenarios.encode(case.scenario), case.policy.encode(), str(case.seed).encode()))
    return hashlib.blake2b(decisive + code.encode(), digest_size=12).hexdigest()


def one(case: Case, code: str = "") -> Result:
    """Makes a run in this process."""
    world = World(case.scenario, case.seed, POLICIES[case.policy])
    metrics = world.run()
    return Result(run_key(case, code), case.name, case.policy, case.seed, world.broken, metrics.figures())


def run_with_timeline(case: Case) -> ScenarioRun:
    """Makes a run in this process, sampled over time for a report."""
    world = World(case.scenario, case.seed, POLICIES[case.policy])
    observer = TimelineSampler(world, world.scenario_start, world.scenario_end)
    metrics = world.run()
    return ScenarioRun(case.name, case.scenario, metrics, observer.samples, utilization(world), world.broken)


def many(
    cases: Iterable[Case],
    results: Results,
    processes: int | None = None,
    on_each: Callable[[Result], None] = lambda result: None,
) -> list[Result]:
    """Makes all runs that `results` does not have, and stores them there.

    Args:
        cases: The runs.
        results: Takes each result as soon as it is known.
        processes: How many run at a time; None: one for each core.
        on_each: Called with each result, stored or new.

    Returns:
        Results in the order of the cases.
    """
    cases = list(cases)
    code = code_digest()
    keys = [run_key(case, code) for case in cases]
    found = results.find(keys)
    for result in found.values():
        on_each(result)
    missing = {key: case for key, case in zip(keys, cases, strict=True) if key not in found}
    for result in _run_all(list(missing.values()), code, processes or os.cpu_count() or 1):
        results.store(result)
        found[result.key] = result
        on_each(result)
    return [found[key] for key in keys]


def _run_all(cases: list[Case], code: str, processes: int) -> Iterator[Result]:
    if processes == 1 or len(cases) < 2:
        yield from (one(case, code) for case in cases)
        return
    with ProcessPoolExecutor(min(processes, len(cases))) as pool:
        for done in as_completed([pool.submit(one, case, code) for case in cases]):
            yield done.result()


class Difference(NamedTuple):
    """Difference of a figure between two policies or scenarios, paired by seed.

    Attributes:
        mean: Of the second less the first.
        low: Lower end of the confidence interval.
        high: Upper end.
        pairs: How many there were.
    """

    figure: str
    mean: float
    low: float
    high: float
    pairs: int

    @property
    def shown(self) -> bool:
        """Whether the interval excludes that there is no difference."""
        return self.pairs > 1 and not self.low <= 0 <= self.high


def difference(figure: str, first: list[float], second: list[float], seed: int = 1) -> Difference:
    """Bootstraps the mean difference over the pairs.

    Chance makes far larger differences between days than there are between policies, so that means of each
    would hide what pairs show.
    """
    gaps = np.asarray(second) - np.asarray(first)
    if len(gaps) < 2:
        return Difference(figure, float(gaps.mean()), float("-inf"), float("inf"), len(gaps))
    draws = np.random.default_rng(seed).integers(0, len(gaps), (BOOTSTRAP_DRAWS, len(gaps)))
    means = gaps[draws].mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    return Difference(figure, float(gaps.mean()), float(low), float(high), len(gaps))


def vary(scenario: Scenario, settings: Iterable[str], source: str) -> tuple[str, Scenario]:
    """Changes keys of a scenario.

    Args:
        scenario: Stays as it is.
        settings: `KEY=VALUE` each; dots lead into tables, numbers pick from lists.
        source: Named in errors.

    Returns:
        A name for the variant, and the variant.

    Raises:
        ScenarioError: A key is not there, or its value is wrong.
    """
    raw: dict[str, Any] = json.loads(scenarios.encode(scenario))
    settings = list(settings)
    for setting in settings:
        path, equals, value = setting.partition("=")
        if not equals:
            raise ScenarioError(f"{setting!r}: found no =, wanted KEY=VALUE")
        try:
            _assign(raw, path.split("."), value)
        except (KeyError, IndexError, ValueError, TypeError):
            raise ScenarioError(f"{path}: found nothing there, wanted a key of the scenario") from None
    return " ".join(settings) or "as it is", scenarios.from_raw(raw, source)


def _assign(raw: dict[str, Any], path: list[str], value: str) -> None:
    """Sets a key to a JSON value; what is no JSON is a string."""
    try:
        parsed = json.loads(value)
    except ValueError:
        parsed = value
    place: Any = raw
    for part in path[:-1]:
        place = place[_key_in(place, part)]
    place[_key_in(place, path[-1])] = parsed


def _key_in(place: Any, part: str) -> str | int:
    return int(part) if isinstance(place, list) else part
