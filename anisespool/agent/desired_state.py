"""Types of the desired state that the store holds: changes with their deliveries, and drains.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from anisespool.agent.rollout.policy import RolloutPolicy
from anisespool.agent.rollout.state import RolloutState


@dataclass(frozen=True, slots=True)
class Change:
    """One generation of the desired configuration, with its rollout.

    Attributes:
        generation: Higher than that of every earlier change.
        base: Generation of the previous change; 0 for the first change.
        content: Canonical JSON of the document.
        reason: Reason for `state`; may be empty.
        author: Operator who made the change.
        note: Comment of the operator; may be empty.
        created_ms: Time of creation in Unix ms.
        settle_ms: Pause between two waves.
    """

    generation: int
    base: int
    digest: str
    content: str
    state: RolloutState
    reason: str
    author: str
    note: str
    created_ms: int
    policy: RolloutPolicy
    settle_ms: int


@dataclass(frozen=True, slots=True)
class ChangeDraft:
    """A change without a generation yet. The attributes are those of `Change`."""

    content: str
    digest: str
    author: str
    note: str
    policy: RolloutPolicy
    settle_ms: int = 0


class DeliveryState(Enum):
    """Progress of the delivery of a change to an instance. The values are stored as text."""

    SENT = "sent"
    CONFIRMED = "confirmed"
    REJECTED = "refused"


@dataclass(frozen=True, slots=True)
class Delivery:
    """The delivery of a change to an instance, and its outcome.

    Attributes:
        boot: Boot id of the instance when the change was sent.
        detail: Reason for a rejection; otherwise empty.
    """

    instance: str
    boot: str
    state: DeliveryState
    detail: str = ""


@dataclass(frozen=True, slots=True)
class DrainSet:
    """Ids of the endpoints that are drained on every instance, at one revision of this set."""

    revision: int
    endpoints: tuple[str, ...]


@dataclass(slots=True)
class DesiredState:
    """Desired state of all instances. Only DesiredStateRepository modifies it, together with the store.

    Attributes:
        newest: The newest change; None before the first one.
        last_settled: The newest settled change before `newest`; None if there is none.
        deliveries: Deliveries of the newest change, by instance name.
        drains: Endpoints that are drained on every instance.
    """

    newest: Change | None = None
    last_settled: Change | None = None
    deliveries: dict[str, Delivery] = field(default_factory=dict)
    drains: DrainSet = field(default_factory=lambda: DrainSet(0, ()))

    def is_newest(self, change: Change) -> bool:
        """Return whether `change` has the newest generation, whatever its state."""
        return self.newest is not None and self.newest.generation == change.generation
