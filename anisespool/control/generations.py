"""Whether an instance applies a configuration update: completely or not at all, in order, each one once.

Compare-and-swap over generations: an update names the generation that it makes and the digest of the
configuration that it replaces. Pure: no I/O, no clock.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class AppliedConfig(NamedTuple):
    """The configuration that an instance has applied (a tuple: the lab's explorer hashes and sorts many).

    Attributes:
        generation: 0 while it runs on its own file alone, as it was started.
        digest: Of the document in force (`config.operator.digest`).
    """

    generation: int
    digest: str


class ConfigUpdate(NamedTuple):
    """The header of a configuration update, without its content.

    Attributes:
        generation: The generation that applying it makes.
        base: Digest of the configuration that it was made to replace.
        digest: Of its content, as the sender computed it.
    """

    generation: int
    base: str
    digest: str


class ApplyDecision(Enum):
    """What an instance does with an update. The values are the error codes on the control socket."""

    APPLY = "take"
    ALREADY_APPLIED = "same"  # the same update again: acknowledged, nothing changes
    STALE = "older"  # of a generation before the applied one
    CONFLICT = "conflict"  # another document under the applied generation
    BASE_MISMATCH = "base"  # made to replace another configuration than the applied one
    DIGEST_MISMATCH = "damaged"  # the content has another digest than the sender computed


def decide_update(applied: AppliedConfig, update: ConfigUpdate, computed_digest: str) -> ApplyDecision:
    """Decide what to do with an update.

    Args:
        applied: The configuration in force.
        update: Header of the update.
        computed_digest: Digest of its content as received.
    """
    if update.digest != computed_digest:
        return ApplyDecision.DIGEST_MISMATCH
    if update.generation == applied.generation:
        same = update.digest == applied.digest
        return ApplyDecision.ALREADY_APPLIED if same else ApplyDecision.CONFLICT
    if update.generation < applied.generation:
        return ApplyDecision.STALE
    return ApplyDecision.APPLY if update.base == applied.digest else ApplyDecision.BASE_MISMATCH
