"""Runs scenarios in parallel processes, stores the results, and compares them in pairs of equal seed.

A run is determined by its scenario, its policy, its seed and the code. Its key is a digest of all four.
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
from anisespool.lab.results import Result, ResultStore
from anisespool.lab.scenario import Scenario, ScenarioError

BOOTSTRAP_SAMPLES = 2000
CONFIDENCE_LEVEL = 0.95
LAB = Path(__file__).parent
CODE_FOLDERS = (Path(balancer.__file__).parent, LAB, LAB / "model", LAB / "scenario")


class Case(NamedTuple):
    """One run: a scenario with a policy and a seed."""

    name: str
    scenario: Scenario
    policy: str
    seed: int


def code_digest() -> str:
    """Return a digest of the code that runs depend on, so that results of other code are not reused."""
    digest = hashlib.blake2b(digest_size=8)
    for folder in CODE_FOLDERS:
        for path in sorted(folder.glob("*.py")):
            digest.update(path.read_bytes())
    return digest.hexdigest()


def run_key(case: Case, code: str) -> str:
    """Return the key of a run; `code` is the result of `code_digest`."""
    inputs = b"\0".join((scenarios.encode(case.scenario), case.policy.encode(), str(case.seed).encode()))
    return hashlib.blake2b(inputs + code.encode(), digest_size=12).hexdigest()


def run_case(case: Case, code: str = "") -> Result:
    """Run a case in this process."""
    world = World(case.scenario, case.seed, POLICIES[case.policy])
    metrics = world.run()
    return Result(run_key(case, code), case.name, case.policy, case.seed, world.broken, metrics.figures())


def run_with_timeline(case: Case) -> ScenarioRun:
    """Run a case in this process, and sample its queues over time for a report."""
    world = World(case.scenario, case.seed, POLICIES[case.policy])
    observer = TimelineSampler(world, world.scenario_start, world.scenario_end)
    metrics = world.run()
    return ScenarioRun(case.name, case.scenario, metrics, observer.samples, utilization(world), world.broken)


def run_cases(
    cases: Iterable[Case],
    results: ResultStore,
    processes: int | None = None,
    on_each: Callable[[Result], None] = lambda result: None,
) -> list[Result]:
    """Run all cases whose result `results` lacks, and store the new results.

    Args:
        cases: The cases to run.
        results: Stored results; each new result is added as soon as its run ends.
        processes: Number of worker processes; None: one for each core.
        on_each: Called with each result, whether stored or new.

    Returns:
        The results in the order of the cases.
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
        yield from (run_case(case, code) for case in cases)
        return
    with ProcessPoolExecutor(min(processes, len(cases))) as pool:
        for done in as_completed([pool.submit(run_case, case, code) for case in cases]):
            yield done.result()


class Difference(NamedTuple):
    """The difference in a figure between two policies or scenarios, paired by seed.

    Attributes:
        mean: Mean difference: the second value minus the first.
        low: Lower end of the confidence interval of the mean.
        high: Upper end of the interval.
        pairs: Number of pairs.
    """

    figure: str
    mean: float
    low: float
    high: float
    pairs: int

    @property
    def is_significant(self) -> bool:
        """Whether the confidence interval excludes zero."""
        return self.pairs > 1 and not self.low <= 0 <= self.high


def paired_difference(figure: str, first: list[float], second: list[float], seed: int = 1) -> Difference:
    """Return the mean difference over the pairs, with a bootstrap confidence interval.

    Results vary far more between seeds than between policies: comparing the two means would hide an effect
    that the pairs show.
    """
    differences = np.asarray(second) - np.asarray(first)
    if len(differences) < 2:
        return Difference(figure, float(differences.mean()), float("-inf"), float("inf"), len(differences))
    samples = np.random.default_rng(seed).integers(0, len(differences), (BOOTSTRAP_SAMPLES, len(differences)))
    means = differences[samples].mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2])
    return Difference(figure, float(differences.mean()), float(low), float(high), len(differences))


def with_overrides(scenario: Scenario, overrides: Iterable[str], source: str) -> tuple[str, Scenario]:
    """Return a copy of a scenario with some keys set to other values.

    Args:
        scenario: The scenario; it is not modified.
        overrides: `KEY=VALUE` each; dots in a key separate nested tables, and a number is an index of a list.
        source: Name of the scenario in error messages.

    Returns:
        A name for the variant, and the variant.

    Raises:
        ScenarioError: A key does not exist, or its value is invalid.
    """
    raw: dict[str, Any] = json.loads(scenarios.encode(scenario))
    overrides = list(overrides)
    for override in overrides:
        path, equals, value = override.partition("=")
        if not equals:
            raise ScenarioError(f"{override!r}: found no =, wanted KEY=VALUE")
        try:
            _assign(raw, path.split("."), value)
        except (KeyError, IndexError, ValueError, TypeError):
            raise ScenarioError(f"{path}: found no such key, wanted a key of the scenario") from None
    return " ".join(overrides) or "as it is", scenarios.from_raw(raw, source)


def _assign(raw: dict[str, Any], path: list[str], value: str) -> None:
    """Set the key at `path` to a JSON value; a value that is not valid JSON is taken as a string."""
    try:
        parsed = json.loads(value)
    except ValueError:
        parsed = value
    container: Any = raw
    for part in path[:-1]:
        container = container[_container_key(container, part)]
    container[_container_key(container, path[-1])] = parsed


def _container_key(container: Any, part: str) -> str | int:
    return int(part) if isinstance(container, list) else part
