"""Checks of conditions that involve several tables. The class of a table defines its own bounds."""

from __future__ import annotations

from anisespool.lab.model.link_selector import parse_selector
from anisespool.lab.scenario.base import ScenarioError
from anisespool.lab.scenario.faults import KINDS_SIZED_AS_SHARE, OF_A_ZONE, Fault
from anisespool.lab.scenario.schema import Scenario, Statement


def validate(scenario: Scenario, source: str) -> None:
    """Checks conditions that involve several tables.

    Raises:
        ScenarioError: A condition does not hold. The text begins with `source`.
    """
    for index, fault in enumerate(scenario.faults):
        _check_fault(scenario, fault, f"{source}: troubles[{index}]")
    _check_links(scenario, source)
    for index, statement in enumerate(scenario.statements):
        _check_statement(scenario, statement, f"{source}: statements[{index}]")
    _check_bursts(scenario, source)
    _check_classes(scenario, source)


def _check_fault(scenario: Scenario, fault: Fault, key_path: str) -> None:
    wrong = [index for index in fault.endpoints if not 0 <= index < scenario.endpoint_count]
    if wrong:
        raise ScenarioError(
            f"{key_path}.endpoints: found {wrong[0]}, wanted 0 to {scenario.endpoint_count - 1}"
        )
    if fault.kind in KINDS_SIZED_AS_SHARE and fault.size > 1:
        raise ScenarioError(f"{key_path}.size: found {fault.size}, wanted a share up to 1")
    if fault.zone is not None and fault.zone not in scenario.zones():
        raise ScenarioError(f"{key_path}.zone: found {fault.zone}, wanted one of {_zone_list(scenario)}")
    if fault.kind in OF_A_ZONE and fault.zone is None:
        raise ScenarioError(f"{key_path}.zone: found none, wanted the zone of a {fault.kind}")
    if fault.kind == "tenant" and fault.tenant >= len(scenario.tenants):
        raise ScenarioError(f"{key_path}.tenant: found {fault.tenant}, wanted below {len(scenario.tenants)}")
    if any(not 0 <= index < scenario.sidecars for index in fault.sidecars):
        wanted = f"wanted 0 to {scenario.sidecars - 1}"
        raise ScenarioError(f"{key_path}.sidecars: found {fault.sidecars}, {wanted}")


def _check_links(scenario: Scenario, source: str) -> None:
    for index, link in enumerate(scenario.links):
        for key, side in (("from", link.from_), ("to", link.to)):
            try:
                parse_selector(side)
            except ValueError as error:
                raise ScenarioError(f"{source}: links[{index}].{key}: {error}") from None


def _check_statement(scenario: Scenario, statement: Statement, key_path: str) -> None:
    if statement.kind.startswith("share-") and statement.zone not in scenario.zones():
        raise ScenarioError(f"{key_path}.zone: found {statement.zone}, wanted one of {_zone_list(scenario)}")
    end = scenario.seconds if statement.to_s is None else statement.to_s
    if not statement.from_s < end <= scenario.seconds:
        found = f"found {statement.from_s:g} to {end:g}"
        wanted = f"wanted a span within 0 to {scenario.seconds:g}"
        raise ScenarioError(f"{key_path}.from_s: {found}, {wanted}")


def _check_bursts(scenario: Scenario, source: str) -> None:
    count = len(scenario.classes)
    for index, burst in enumerate(scenario.bursts):
        if burst.cls >= count:
            raise ScenarioError(f"{source}: bursts[{index}].cls: found {burst.cls}, wanted below {count}")


def _check_classes(scenario: Scenario, source: str) -> None:
    for index, request_class in enumerate(scenario.classes):
        if request_class.target_ms > request_class.deadline_ms:
            raise ScenarioError(
                f"{source}: classes[{index}].target_ms: found {request_class.target_ms:g}, "
                f"wanted at most the deadline, {request_class.deadline_ms:g}"
            )


def _zone_list(scenario: Scenario) -> str:
    return ", ".join(map(str, scenario.zones()))
