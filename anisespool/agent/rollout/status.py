"""Status of one instance with respect to the newest change, by what the instance last reported."""

from __future__ import annotations

from enum import Enum

from anisespool.agent.desired_state import Change, Delivery, DeliveryState
from anisespool.agent.instance_state import InstanceState


class RolloutStatus(Enum):
    """Status of one instance with respect to one generation. The values are those of agent.proto."""

    UP_TO_DATE = "has"  # the instance reports this generation
    OUTDATED = "lacks"  # it answers and reports an older generation
    IN_FLIGHT = "sent"  # the change was sent, no answer yet
    REJECTED = "refused"  # it rejected the change and has not restarted since
    UNREACHABLE = "unreachable"  # it does not answer; its generation is unknown
    AHEAD = "ahead"  # it reports a generation that this agent never created


def status_by_report(newest: Change, observed: InstanceState, delivery: Delivery | None) -> RolloutStatus:
    """Return the status of an instance that answers and has no delivery in flight.

    Args:
        newest: The newest change.
        observed: State that the instance last reported.
        delivery: Of the newest change to this instance, as recorded; None if there is none.
    """
    if observed.generation > newest.generation:
        return RolloutStatus.AHEAD
    if observed.generation == newest.generation:
        is_same = observed.digest == newest.digest
        return RolloutStatus.UP_TO_DATE if is_same else RolloutStatus.REJECTED
    if delivery and delivery.state is DeliveryState.REJECTED and delivery.boot == observed.boot:
        return RolloutStatus.REJECTED
    return RolloutStatus.OUTDATED
