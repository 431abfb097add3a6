"""Statuses of one instance with respect to one change."""

from __future__ import annotations

from enum import Enum


class RolloutStatus(Enum):
    """Status of one instance with respect to one change. The values are those of agent.proto."""

    UP_TO_DATE = "has"  # the instance reports the generation of the change
    OUTDATED = "lacks"  # it responds and reports an older generation
    IN_FLIGHT = "sent"  # the change was sent, but there is no response yet
    REJECTED = "refused"  # it rejected the change and has not restarted since
    UNREACHABLE = "unreachable"  # it does not respond, so its generation is unknown
    AHEAD = "ahead"  # it reports a generation that this agent never created
