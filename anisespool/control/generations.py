"""Decides whether an instance applies a configuration update, so that each is applied in order and only once.

The rule is a compare-and-swap over generations: an update has the number of its own generation and the digest
of the configuration that it replaces. The functions are pure: no I/O and no clock.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class AppliedConfig(NamedTuple):
    """The configuration that an instance has applied. A tuple, as the lab's explorer hashes and sorts many.

    Attributes:
        generation: The applied generation; 0 if only the operator's file is in force.
        digest: Digest of the document in force, computed by `config.operator.digest`.
    """

    generation: int
    digest: str


class ConfigUpdate(NamedTuple):
    """The header of a configuration update, without its content.

    Attributes:
        generation: The generation after the update is applied.
        base: Digest of the configuration that the update replaces.
        digest: Digest of the update's content, computed by the sender.
    """

    generation: int
    base: str
    digest: str


class ApplyDecision(Enum):
    """What an instance does with an update. The values are the error codes on the control socket."""

    APPLY = "take"
    ALREADY_APPLIED = "same"  # The update is applied already and only acknowledged.
    STALE = "older"  # The generation is lower than the applied one.
    CONFLICT = "conflict"  # The applied generation has another document.
    BASE_MISMATCH = "base"  # The update replaces a configuration that is not the applied one.
    DIGEST_MISMATCH = "damaged"  # The digest of the content differs from the sender's.


def decide_update(applied: AppliedConfig, update: ConfigUpdate, computed_digest: str) -> ApplyDecision:
    """Return whether to apply an update, or why not.

    `computed_digest` is the digest of the received content.
    """
    if update.digest != computed_digest:
        return ApplyDecision.DIGEST_MISMATCH
    if update.generation == applied.generation:
        is_same_content = update.digest == applied.digest
        return ApplyDecision.ALREADY_APPLIED if is_same_content else ApplyDecision.CONFLICT
    if update.generation < applied.generation:
        return ApplyDecision.STALE
    return ApplyDecision.APPLY if update.base == applied.digest else ApplyDecision.BASE_MISMATCH
