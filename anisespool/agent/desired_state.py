"""The desired state as the store holds it: changes with their deliveries, and drains.

Pure: no I/O, no clock.
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
        base: The generation before it.
        digest: Of the document.
        content: Canonical JSON of the document.
        state: Of its rollout.
        reason: Why it is in that state; may be empty.
        author: Operator who made it.
        note: The operator's own; may be empty.
        created_ms: Unix ms.
        policy: Bounds of its rollout.
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
    """A change before it has a generation; the attributes are those of `Change`."""

    content: str
    digest: str
    author: str
    note: str
    policy: RolloutPolicy
    settle_ms: int = 0


class DeliveryState(Enum):
    """How far the delivery of a change to an instance got. The values are stored as text."""

    SENT = "sent"
    CONFIRMED = "confirmed"
    REJECTED = "refused"


@dataclass(frozen=True, slots=True)
class Delivery:
    """A change sent to an instance, and its outcome.

    Attributes:
        instance: Its name.
        boot: The instance's start that it was sent to.
        state: How far it got.
        detail: Why it was rejected; otherwise empty.
    """

    instance: str
    boot: str
    state: DeliveryState
    detail: str = ""


@dataclass(frozen=True, slots=True)
class DrainSet:
    """The ids of the endpoints that are drained on every instance, as of a revision."""

    revision: int
    endpoints: tuple[str, ...]


@dataclass(slots=True)
class DesiredState:
    """What every instance should have. Owned by DesiredStateRepository, which keeps it equal to the store.

    Attributes:
        newest: The newest change; None before the first one.
        last_settled: The newest settled change before it.
        deliveries: Of the newest change, by instance.
        drains: On every instance.
    """

    newest: Change | None = None
    last_settled: Change | None = None
    deliveries: dict[str, Delivery] = field(default_factory=dict)
    drains: DrainSet = field(default_factory=lambda: DrainSet(0, ()))

    def is_newest(self, change: Change) -> bool:
        """Return whether `change` is the newest one, in whatever state."""
        return self.newest is not None and self.newest.generation == change.generation
