"""A short soak of real sidecars under drawn faults; the long one is started by hand (tests/soak)."""

from __future__ import annotations

import pytest

from tests.soak.judge import judge
from tests.soak.play import play
from tests.soak.records import Arrival, ClientEnd, DrainNotice, RunRecord, SentRequest, Usage

SEEDS = (101, 102, 103)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_under_drawn_faults(seed: int) -> None:
    result = play(seed)
    assert (result.violations, result.crashes) == ([], []), "void" if result.is_void else ""
    assert result.served > 0


def sent(trace_id: str = "a", effect: str = "once", **fields: object) -> SentRequest:
    request = SentRequest(trace_id, f"task-{trace_id}", effect, 0, sent_s=10.0, wait_s=1.0)
    request.end, request.ended_s, request.status, request.body = (
        ClientEnd.ANSWERED,
        10.1,
        200,
        trace_id.encode(),
    )
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def arrived(
    trace_id: str = "a",
    at_s: float = 10.01,
    told_s: float = 0.5,
    endpoint: int = 0,
    is_repeat: bool = False,
) -> Arrival:
    return Arrival(
        trace_id, f"task-{trace_id}", endpoint, 0, at_s, told_s, executed=True, is_repeat=is_repeat
    )


@pytest.mark.parametrize(
    ("record", "violation"),
    [
        (RunRecord([sent()], [arrived()]), None),
        (RunRecord([sent(end=ClientEnd.NO_ANSWER, status=0)]), "lost: no answer"),
        (RunRecord([sent(ended_s=11.6)]), "lost: answer 0.600 s late"),
        (RunRecord([sent(end=ClientEnd.CLOSED, status=0)], [arrived()]), "lost: closed after"),
        (RunRecord([sent(body=b"b")]), "lost: answered with another's"),
        (
            RunRecord([sent(end=ClientEnd.LEFT, status=0)], [arrived(at_s=10.25)]),
            "lost: attempt 0.150 s after",
        ),
        (RunRecord([sent()], [arrived(told_s=1.2)]), "told 0.210 s more"),
        (RunRecord([sent()], [arrived(), arrived(at_s=10.05)]), "executed twice"),
        (RunRecord([sent(effect="by_key")], [arrived(), arrived(at_s=10.05)]), None),
        (
            RunRecord([sent()], [arrived(at_s=10.05)], [DrainNotice(0, 9.7, frozenset({0}))]),
            "sent to endpoint 0",
        ),
        (RunRecord(usage=[Usage(0, 64, 256, memory_mb=64.0, descriptors=256)]), None),
        (RunRecord(usage=[Usage(0, 64, 256, memory_mb=64.1)]), "sidecar 0 used 64.1 MB"),
        (RunRecord(usage=[Usage(1, 64, 256, descriptors=257)]), "sidecar 1 used 257 descriptors"),
        (
            RunRecord([sent(end=ClientEnd.LEFT)], [arrived(), arrived(at_s=10.3, is_repeat=True)]),
            "executed twice",
        ),
        (RunRecord([sent(end=ClientEnd.LEFT)], [arrived(at_s=10.3, is_repeat=True)]), None),
    ],
)
def test_the_judge_names_each_broken_rule(record: RunRecord, violation: str | None) -> None:
    """A judge that finds nothing would let every run pass."""
    violations = judge(record)
    assert len(violations) == (violation is not None)
    assert all(text.startswith(str(violation)) for text in violations)
