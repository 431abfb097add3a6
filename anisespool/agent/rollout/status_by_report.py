"""Rollout status of an instance according to its last report."""

from __future__ import annotations

from anisespool.agent.desired_state import Change, Delivery, DeliveryState
from anisespool.agent.instance_state import InstanceState
from anisespool.agent.rollout.status import RolloutStatus


def status_by_report(newest: Change, observed: InstanceState, delivery: Delivery | None) -> RolloutStatus:
    """Return the status of a reachable instance that has no delivery in flight.

    Args:
        delivery: Recorded delivery of the newest change to this instance; None if there is none.
    """
    if observed.generation > newest.generation:
        return RolloutStatus.AHEAD
    if observed.generation == newest.generation:
        is_same = observed.digest == newest.digest
        return RolloutStatus.UP_TO_DATE if is_same else RolloutStatus.REJECTED
    if delivery and delivery.state is DeliveryState.REJECTED and delivery.boot == observed.boot:
        return RolloutStatus.REJECTED
    return RolloutStatus.OUTDATED
