"""What happens in one run, drawn from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from anisespool.fakes import platform
from tests.harness.hostile_clients import CROWD_INPUTS, FLOOD_INPUTS, Attack, Manner

RUN_S = 7.0
SIDECARS = 2
ENDPOINTS = 6
MAX_HELD_UP_S = 0.45  # the rules allow an answer 0.5 s after its time
DEDUP_WINDOW_S = 1.5
MEMORY_MB = 64  # the least that the project's pages name (docs/capacity.md)
SIGKILL_MARGIN_S = 0.7
MAX_SIGKILL_DEADLINE_S = 3.0


class FaultKind(Enum):
    """What a fault does."""

    HOLD_UP = "hold_up"
    """Stops a sidecar for a while."""
    STARVE = "starve"
    """Lets a sidecar run for a quarter of the time only, in turns of some milliseconds."""
    DRAIN = "drain"
    """Drains an endpoint, and makes it ready again after a while."""
    RESTART = "restart"
    """Sends SIGTERM and more signals to a sidecar, SIGKILL as early as may be, and starts it again."""
    RELOAD = "reload"
    """Sends SIGHUP to a sidecar."""
    ENDPOINT_DOWN = "endpoint_down"
    """Resets an endpoint's connections and refuses new ones for a while."""
    ENDPOINT_HANGS = "endpoint_hangs"
    """Leaves an endpoint's requests without an answer for a while."""
    WATCH_RESET = "watch_reset"
    """Resets the open watches on the endpoint list."""
    HOSTILE_CLIENTS = "hostile_clients"
    """Lets clients send to a sidecar for a while what costs it memory or processor time."""
    ADDRESS_REUSE = "address_reuse"
    """Lists a new, draining process at the address of an endpoint that stays listed as ready."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: when it begins and ends, and which sidecar or endpoint it affects."""

    at_s: float
    for_s: float
    kind: FaultKind
    target: int
    attack: Attack | None = None
    """What hostile clients do; None for other faults."""


@dataclass(frozen=True, slots=True)
class Plan:
    """One run.

    Attributes:
        settings: The platform's settings of the sidecars.
        rate_per_s: Requests for each sidecar.
        crowd: Number of idle connections that are opened to each sidecar, and opened again when they close.
        sockets: The limit on descriptors of a sidecar.
        memory_mb: The limit on its resident memory.
        endpoint_fault_share: Share of the requests that an endpoint rejects, fails or resets.
        faults: In order of time.
    """

    seed: int
    settings: dict[str, Any]
    rate_per_s: float
    crowd: int
    sockets: int
    memory_mb: int
    endpoint_fault_share: float
    faults: tuple[Fault, ...]

    @property
    def sigkill_after_s(self) -> float:
        """The shortest time from SIGTERM to SIGKILL."""
        deadlines_s: list[float] = [row["deadline-ns"] / 1e9 for row in self.settings["request-classes"]]
        return min(max(deadlines_s), MAX_SIGKILL_DEADLINE_S) + SIGKILL_MARGIN_S


def draw(seed: int) -> Plan:
    """Draw a run."""
    draws = random.Random(seed)
    has_crowd = draws.random() < 0.25
    return Plan(
        seed,
        _draw_settings(draws),
        rate_per_s=draws.uniform(30, 70),
        crowd=120 if has_crowd else 0,
        sockets=128 if has_crowd else draws.choice((256, 1024)),
        memory_mb=MEMORY_MB,
        endpoint_fault_share=draws.choice((0.0, 0.05, 0.2)),
        faults=tuple(sorted(_draw_faults(draws), key=lambda fault: fault.at_s)),
    )


def _draw_settings(draws: random.Random) -> dict[str, Any]:
    settings = platform.settings(fleet_size=SIDECARS)
    time_share = draws.choice((0.3, 0.6, 1.0))
    for row in settings["request-classes"]:
        row["target-ns"] = int(row["target-ns"] * time_share)
        row["deadline-ns"] = int(row["deadline-ns"] * time_share)
    keyed = settings["request-classes"][draws.randrange(1, 3)]
    keyed["effect"] = draws.choice(("by_key", "once"))
    keyed["dedup-scope"] = "all"
    keyed["dedup-window-ns"] = int(DEDUP_WINDOW_S * 1e9)
    settings["allowed"]["retry-after"] = draws.random() < 0.5
    return settings


def _draw_faults(draws: random.Random) -> list[Fault]:
    faults = _draw_hold_ups(draws)
    counts = {
        FaultKind.DRAIN: draws.randrange(0, 4),
        FaultKind.RELOAD: draws.randrange(0, 4),
        FaultKind.ENDPOINT_DOWN: draws.randrange(0, 3),
        FaultKind.ENDPOINT_HANGS: draws.randrange(0, 3),
        FaultKind.WATCH_RESET: draws.randrange(0, 2),
    }
    for kind, count in counts.items():
        faults += [
            Fault(draws.uniform(0.5, RUN_S - 1), draws.uniform(0.3, 1.5), kind, draws.randrange(ENDPOINTS))
            for _ in range(count)
        ]
    if draws.random() < 0.6:
        faults.append(Fault(draws.uniform(0.5, 2.5), 0.0, FaultKind.RESTART, draws.randrange(SIDECARS)))
    if draws.random() < 0.4:
        at_s, for_s = draws.uniform(0.5, RUN_S - 2), draws.uniform(0.3, 1.0)
        faults.append(Fault(at_s, for_s, FaultKind.STARVE, draws.randrange(SIDECARS)))
    if draws.random() < 0.6:
        faults.append(_draw_attack(draws))
    for _ in range(draws.randrange(0, 3)):
        at_s = draws.uniform(0.5, RUN_S - 2)
        faults.append(
            Fault(at_s, draws.uniform(0.6, 1.2), FaultKind.ADDRESS_REUSE, draws.randrange(ENDPOINTS))
        )
    return faults


def _draw_attack(draws: random.Random) -> Fault:
    is_crowd = draws.random() < 0.6
    if is_crowd:
        manner = draws.choice((Manner.ONCE, Manner.ONCE, Manner.SLOWLY))
        attack = Attack(draws.choice(CROWD_INPUTS), manner, draws.randrange(100, 650))
    else:
        manner = draws.choice((Manner.AT_FULL_SPEED, Manner.WITHOUT_READING))
        attack = Attack(draws.choice(FLOOD_INPUTS), manner, draws.randrange(1, 4))
    at_s, for_s = draws.uniform(0.3, RUN_S - 3), draws.uniform(0.8, 2.5)
    return Fault(at_s, for_s, FaultKind.HOSTILE_CLIENTS, draws.randrange(SIDECARS), attack)


def _draw_hold_ups(draws: random.Random) -> list[Fault]:
    """Draw hold-ups of each sidecar, often together with a drain that is published during one."""
    faults = []
    for sidecar in range(SIDECARS):
        at_s = draws.uniform(0.4, 1.2)
        while at_s < RUN_S - 1.5:
            for_s = draws.uniform(0.05, MAX_HELD_UP_S)
            faults.append(Fault(at_s, for_s, FaultKind.HOLD_UP, sidecar))
            if draws.random() < 0.3:
                endpoint = draws.randrange(ENDPOINTS)
                faults.append(Fault(at_s + 0.02, draws.uniform(0.6, 1.2), FaultKind.DRAIN, endpoint))
            at_s += for_s + draws.uniform(0.6, 1.6)
    return faults
