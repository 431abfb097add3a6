"""Requests that the sampler selects at given sampling rates."""

from __future__ import annotations

import pytest

from anisespool.records.outcome import Outcome
from anisespool.records.sampling import Sampler

TRACE_IDS = [b"t%d" % number for number in range(4000)]
UNKNOWN_CLASS = -1


@pytest.fixture
def sampler() -> Sampler:
    """A sampler in which class 0 has the default rates, and classes 1 and 2 override one rate each."""
    rates = {Outcome.SERVED: 0.1, Outcome.CLIENT_DISCONNECTED: 0.0}
    class_rates = {"b": {Outcome.SERVED: 0.5}, "c": {Outcome.CLIENT_DISCONNECTED: 1.0}}
    return Sampler(rates, class_rates, ["a", "b", "c"])


def recorded_share(sampler: Sampler, request_class: int, outcome: Outcome) -> float:
    recorded = [sampler.should_record(request_class, outcome, trace_id) for trace_id in TRACE_IDS]
    return sum(recorded) / len(TRACE_IDS)


def test_rates_apply_by_class_and_outcome(sampler: Sampler) -> None:
    assert recorded_share(sampler, 0, Outcome.SERVED) == pytest.approx(0.1, abs=0.02)
    assert recorded_share(sampler, 1, Outcome.SERVED) == pytest.approx(0.5, abs=0.03)
    assert recorded_share(sampler, 0, Outcome.CLIENT_DISCONNECTED) == 0.0
    assert recorded_share(sampler, 2, Outcome.CLIENT_DISCONNECTED) == 1.0
    assert recorded_share(sampler, UNKNOWN_CLASS, Outcome.REJECTED) == 1.0


@pytest.mark.parametrize("request_class", [0, 1, UNKNOWN_CLASS])
@pytest.mark.parametrize("outcome", [Outcome.SHED, Outcome.FAILED])
def test_shed_and_failed_requests_are_always_recorded(
    sampler: Sampler, request_class: int, outcome: Outcome
) -> None:
    assert recorded_share(sampler, request_class, outcome) == 1.0


def test_requests_selected_at_a_lower_rate_are_also_selected_at_a_higher_rate(sampler: Sampler) -> None:
    selected = [trace_id for trace_id in TRACE_IDS if sampler.should_record(0, Outcome.SERVED, trace_id)]
    assert all(sampler.should_record(1, Outcome.SERVED, trace_id) for trace_id in selected)
