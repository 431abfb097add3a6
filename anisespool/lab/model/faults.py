"""Schedules the faults of a scenario, and applies each at its start and its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from anisespool.balancer.interface import EndpointState
from anisespool.lab.model.backend import Scheduler
from anisespool.lab.model.endpoint import Endpoint
from anisespool.lab.model.random_streams import RandomStream
from anisespool.lab.model.watch_delay import WatchDelay
from anisespool.lab.scenario import OF_A_ZONE, OF_ALL, OF_PROCESSES, SECOND, Fault, Kind, Scenario

PROCESS_FAULT_KINDS = ("sidecar", "sidecars", "roll", *OF_PROCESSES)
MAX_STOLEN_CPU = 0.99  # below 1, so that an endpoint always has some speed


class ProcessFault(NamedTuple):
    """A fault of one sidecar's process. Times are in ns since the start of the scenario time.

    Attributes:
        ends_at: End of the fault; unused for kinds without a duration, such as a restart.
        fault: The scenario's fault, which may affect several sidecars.
    """

    begins_at: int
    kind: Kind
    sidecar: int
    ends_at: int
    fault: Fault


class FaultTarget(Protocol):
    """A run, simulated or with real processes, to which faults are applied.

    Attributes:
        scenario_start: Start of the scenario time on the run's clock, ns.
    """

    scenario: Scenario
    scenario_start: int
    endpoints: list[Endpoint]
    watch_delay: WatchDelay

    @property
    def clock(self) -> Scheduler:
        """The run's clock."""

    def log(self, *words: object) -> None:
        """Logs the start or the end of a fault."""

    def set_traffic_factor(self, factor: float) -> None:
        """Multiplies the traffic of all clients."""

    def set_tenant_traffic_factor(self, tenant: int, factor: float) -> None:
        """Multiplies one tenant's traffic."""

    def set_zone_traffic_factor(self, zone: int, factor: float) -> None:
        """Multiplies the traffic of one zone's clients. Other zones get less: the total stays the same."""

    def isolate_zone(self, zone: int, begins: bool, until: int) -> None:
        """Isolates a zone, or ends its isolation. Its sidecars get no endpoint updates before `until`."""

    def add_replacement(self, endpoint: Endpoint) -> Endpoint:
        """Adds a new endpoint of the same group, which is not listed yet."""

    def make_unreachable(self, endpoint: Endpoint) -> None:
        """Makes an endpoint's machine unreachable: it sends nothing, and attempts to connect hang."""

    def apply_process_fault(self, process_fault: ProcessFault) -> None:
        """Applies a fault to a sidecar's process, if this run controls the processes."""

    def reset_connections(self, endpoint: Endpoint) -> None:
        """Resets an endpoint's connections. While its process is dead, new ones are refused."""

    def publish(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Changes an endpoint's state in the list. Each sidecar is notified after its own delay."""

    def publish_all(self, with_entries: bool) -> None:
        """Sends every sidecar the complete list, or an empty one."""


def schedule(target: FaultTarget, random: RandomStream, process_random: RandomStream) -> None:
    """Schedules every fault of the scenario.

    Args:
        random: Stream for the choice of endpoints.
        process_random: Stream for the choice of sidecars (see `process_faults`).
    """
    for process_fault in process_faults(target.scenario, process_random):
        target.clock.at(
            target.scenario_start + process_fault.begins_at, _apply_to_process, target, process_fault
        )
    for fault in target.scenario.faults:
        if fault.kind in PROCESS_FAULT_KINDS:
            continue
        begins_at = target.scenario_start + int(fault.at_s * SECOND)
        ends_at = begins_at + int(fault.for_s * SECOND)
        if fault.kind in OF_ALL:
            target.clock.at(begins_at, _apply_to_all, target, fault, True)
            target.clock.at(ends_at, _apply_to_all, target, fault, False)
            continue
        endpoints = _choose_endpoints(target, fault, random)
        for endpoint, delay in zip(endpoints, _start_delays(fault, len(endpoints)), strict=True):
            target.clock.at(begins_at + delay, _apply_to_endpoint, target, fault, endpoint, True)
            target.clock.at(ends_at + delay, _apply_to_endpoint, target, fault, endpoint, False)


def _start_delays(fault: Fault, count: int) -> list[int]:
    """Delays, ns, after which a fault affects `count` targets one after another during its `spread_s`."""
    return [int(fault.spread_s * SECOND * number / count) for number in range(count)]


def process_faults(scenario: Scenario, random: RandomStream) -> list[ProcessFault]:
    """Faults of sidecars' processes in order of time.

    The random stream is used for nothing else, so that the simulation and runs with real processes draw the
    same faults.
    """
    faults = []
    for fault in scenario.faults:
        if fault.kind not in PROCESS_FAULT_KINDS:
            continue
        sidecars = _choose_sidecars(scenario, fault, random)
        for sidecar, delay in zip(sidecars, _start_delays(fault, len(sidecars)), strict=True):
            begins_at = int(fault.at_s * SECOND) + delay
            ends_at = begins_at + int(fault.for_s * SECOND)
            faults.append(ProcessFault(begins_at, fault.kind, sidecar, ends_at, fault))
    return sorted(faults, key=lambda process_fault: (process_fault.begins_at, process_fault.sidecar))


def _choose_sidecars(scenario: Scenario, fault: Fault, random: RandomStream) -> list[int]:
    """The fault's sidecars: listed, all of a zone, or a random share; for a rolling restart all, shuffled."""
    if fault.kind == "sidecar":
        return [int(fault.part * (scenario.sidecars - 1))]
    if fault.sidecars:
        return list(fault.sidecars)
    if fault.zone is not None:
        return [number for number, zone in enumerate(scenario.sidecar_zones()) if zone == fault.zone]
    order = sorted(range(scenario.sidecars), key=lambda number: (random.uniform(), number))
    return order if fault.kind == "roll" else order[: max(1, round(fault.part * len(order)))]


def _apply_to_process(target: FaultTarget, process_fault: ProcessFault) -> None:
    target.log("trouble", process_fault.kind, process_fault.sidecar)
    target.apply_process_fault(process_fault)


def _apply_to_all(target: FaultTarget, fault: Fault, begins: bool) -> None:
    target.log("trouble", fault.kind, begins)
    factor = fault.size if begins else 1.0
    if fault.kind == "traffic":
        target.set_traffic_factor(factor)
    elif fault.kind == "stale":
        target.watch_delay.delay_factor = factor
    elif fault.kind == "wipe":
        target.publish_all(with_entries=not begins)
    elif fault.kind == "tenant":
        target.set_tenant_traffic_factor(fault.tenant, factor)
    elif fault.kind == "quiet":
        if begins:  # `hold_back` takes the end of the fault, so nothing is left to do then
            target.watch_delay.hold_back(_ends_at(target, fault))
    elif fault.kind in OF_A_ZONE:
        _apply_to_zone(target, fault, begins)


def _apply_to_zone(target: FaultTarget, fault: Fault, begins: bool) -> None:
    assert fault.zone is not None
    if fault.kind == "shift":
        target.set_zone_traffic_factor(fault.zone, fault.size if begins else 1.0)
    else:
        target.isolate_zone(fault.zone, begins, _ends_at(target, fault))


def _ends_at(target: FaultTarget, fault: Fault) -> int:
    return target.clock.now + int(fault.for_s * SECOND)


def _choose_endpoints(target: FaultTarget, fault: Fault, random: RandomStream) -> list[Endpoint]:
    """The fault's endpoints: all of a zone, listed, or a random share."""
    if fault.zone is not None:
        return [endpoint for endpoint in target.endpoints if endpoint.spec.zone == fault.zone]
    if fault.endpoints:
        return [target.endpoints[number] for number in fault.endpoints]
    count = max(1, round(fault.part * len(target.endpoints))) if fault.part else 0
    order = sorted(target.endpoints, key=lambda endpoint: (random.uniform(), endpoint.id))
    return order[:count]


def _apply_to_endpoint(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    target.log("trouble", fault.kind, endpoint.id, begins)
    ENDPOINT_FAULTS[fault.kind](target, fault, endpoint, begins)


def _slow(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    endpoint.faults.slowdown = fault.size if begins else 1.0


def _fail(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    endpoint.faults.failure_rate = fault.size if begins else 0.0


def _neighbour(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    endpoint.faults.stolen_cpu = min(fault.size, MAX_STOLEN_CPU) if begins else 0.0


def _delay(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    endpoint.faults.delay_factor = fault.size if begins else 1.0


def _lossy(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    endpoint.faults.response_loss = fault.size if begins else 0.0


def _pause(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    if begins:
        endpoint.faults.paused_until = _ends_at(target, fault)


def _reset(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    if begins:
        target.reset_connections(endpoint)


def _replace(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    """Lists a new endpoint and drains the old one, whose process ends after `for_s`."""
    if begins:
        target.publish(target.add_replacement(endpoint), EndpointState.READY)
        target.publish(endpoint, EndpointState.DRAINING)
    else:
        _stop_process(target, endpoint)


def _kill(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    """Ends the process. A new one starts after `for_s`."""
    if begins:
        _stop_process(target, endpoint)
    else:
        _start_process(target, endpoint)


def _vanish(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    """Makes the machine unreachable for `for_s`. Then connections are reset, and a new process starts."""
    if begins:
        endpoint.faults.vanished = True
        target.make_unreachable(endpoint)
    else:
        target.reset_connections(endpoint)
        _start_process(target, endpoint)


def _restart(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    """Restarts the process as planned: it drains for `for_s`, and a new one replaces it."""
    if begins:
        target.publish(endpoint, EndpointState.DRAINING)
    else:
        target.reset_connections(endpoint)
        _start_process(target, endpoint)


def _drain(target: FaultTarget, fault: Fault, endpoint: Endpoint, begins: bool) -> None:
    target.publish(endpoint, EndpointState.DRAINING if begins else EndpointState.READY)


def _stop_process(target: FaultTarget, endpoint: Endpoint) -> None:
    endpoint.faults.dead = True
    target.reset_connections(endpoint)
    target.publish(endpoint, EndpointState.GONE)


def _start_process(target: FaultTarget, endpoint: Endpoint) -> None:
    endpoint.restart(target.clock.now)
    target.publish(endpoint, EndpointState.READY)


ENDPOINT_FAULTS: dict[str, Callable[[FaultTarget, Fault, Endpoint, bool], None]] = {
    "slow": _slow,
    "fail": _fail,
    "neighbour": _neighbour,
    "delay": _delay,
    "pause": _pause,
    "reset": _reset,
    "kill": _kill,
    "vanish": _vanish,
    "restart": _restart,
    "drain": _drain,
    "lossy": _lossy,
    "replace": _replace,
}
