"""The rule that decides whether a configuration update is applied."""

from __future__ import annotations

import pytest

from anisespool.control.generations import AppliedConfig, ApplyDecision, ConfigUpdate, decide_update


@pytest.mark.parametrize(
    ("update", "content_digest", "decision"),
    [
        (ConfigUpdate(3, "two", "three"), "three", ApplyDecision.APPLY),
        (ConfigUpdate(2, "one", "two"), "two", ApplyDecision.ALREADY_APPLIED),
        (ConfigUpdate(2, "one", "other"), "other", ApplyDecision.CONFLICT),
        (ConfigUpdate(1, "zero", "one"), "one", ApplyDecision.STALE),
        (ConfigUpdate(3, "one", "three"), "three", ApplyDecision.BASE_MISMATCH),
        (ConfigUpdate(3, "two", "three"), "thr", ApplyDecision.DIGEST_MISMATCH),
    ],
)
def test_an_update_is_applied_only_in_order_and_only_once(
    update: ConfigUpdate, content_digest: str, decision: ApplyDecision
) -> None:
    assert decide_update(AppliedConfig(2, "two"), update, content_digest) is decision
