"""Searches with several processes at once, and shrinks one finding of each kind."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass, field
from typing import NamedTuple

from anisespool.lab.search.findings import Finding
from anisespool.lab.search.search import search
from anisespool.lab.search.shrinking import shrink

ROUND_S = 5.0  # a worker returns its findings after each round
MIN_ROUND_S = 0.5
PROGRESS_INTERVAL_S = 0.5
MAX_FINDINGS = 20  # limit for each round and for the whole search
SEED_STEP = 7919

# Called with the elapsed seconds, the number of runs and the number of findings.
ProgressCallback = Callable[[float, int, int], None]


class SearchResult(NamedTuple):
    """The number of runs, and their findings."""

    runs: int
    findings: list[Finding]


class FindingKind(NamedTuple):
    """The rule that was broken, and the kinds of faults in the scenario that broke it."""

    rule: str
    fault_kinds: frozenset[str]


def search_in_parallel(
    policy: str,
    seed: int,
    seconds: float,
    max_loss: float,
    processes: int | None = None,
    on_progress: ProgressCallback = lambda elapsed_s, runs, findings: None,
) -> SearchResult:
    """Search with several processes, then shrink one finding of each kind.

    Args:
        policy: Name of the policy or mutation to run.
        seed: Seed of the search; the seed of each round is derived from it.
        seconds: Duration of the search, without shrinking.
        max_loss: Loss of service above which a run is a finding (see `search`).
        processes: Number of worker processes; None: one for each core.
        on_progress: Called about twice a second.
    """
    workers = processes or os.cpu_count() or 1
    with ProcessPoolExecutor(workers) as pool:
        rounds = _SearchRounds(pool, workers, policy, seed, seconds, max_loss)
        rounds.run(on_progress)
        shrunk = list(pool.map(shrink, _smallest_of_each_kind(rounds.findings)))
    return SearchResult(rounds.runs, _smallest_of_each_kind(shrunk))


@dataclass(slots=True)
class _SearchRounds:
    """A search divided into short rounds, of which each worker runs one at a time."""

    pool: ProcessPoolExecutor
    workers: int
    policy: str
    seed: int
    seconds: float
    max_loss: float
    started: float = field(default_factory=time.monotonic)
    submitted: int = 0
    pending: set[Future[SearchResult]] = field(default_factory=set)
    runs: int = 0
    findings: list[Finding] = field(default_factory=list)

    def run(self, on_progress: ProgressCallback) -> None:
        """Start rounds until `seconds` have passed, and wait until all have ended."""
        while (elapsed_s := time.monotonic() - self.started) < self.seconds or self.pending:
            self._submit(self.seconds - elapsed_s)
            self._collect()
            on_progress(min(elapsed_s, self.seconds), self.runs, len(self.findings))

    def _submit(self, remaining_s: float) -> None:
        """Start a round for every idle worker, if there is time left."""
        if remaining_s <= 0:
            return
        round_s = min(ROUND_S, max(MIN_ROUND_S, remaining_s))
        while len(self.pending) < self.workers:
            self.submitted += 1
            seed = self.seed + SEED_STEP * self.submitted
            self.pending.add(self.pool.submit(_search_round, self.policy, seed, round_s, self.max_loss))

    def _collect(self) -> None:
        """Wait up to PROGRESS_INTERVAL_S for a round to end, and add the results of those that did."""
        done, self.pending = wait(self.pending, timeout=PROGRESS_INTERVAL_S, return_when=FIRST_COMPLETED)
        for future in done:
            result = future.result()
            self.runs += result.runs
            self.findings += result.findings


def _search_round(policy: str, seed: int, seconds: float, max_loss: float) -> SearchResult:
    """Run one round in a worker process."""
    runs = 0
    findings: list[Finding] = []
    for finding in search(policy, seed, seconds, max_loss):
        runs += 1
        if finding and len(findings) < MAX_FINDINGS:
            findings.append(finding)
    return SearchResult(runs, findings)


def _smallest_of_each_kind(findings: Iterable[Finding]) -> list[Finding]:
    """Return, for each kind, the finding with the fewest faults; on a tie the first one."""
    smallest: dict[FindingKind, Finding] = {}
    for finding in findings:
        kind = FindingKind(finding.rule, frozenset(fault.kind for fault in finding.scenario.faults))
        previous = smallest.get(kind)
        if previous is None or len(finding.scenario.faults) < len(previous.scenario.faults):
            smallest[kind] = finding
    return list(smallest.values())[:MAX_FINDINGS]
