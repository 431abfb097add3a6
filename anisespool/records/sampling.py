"""Selects the requests to record. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from anisespool.records.outcome import Outcome

# Requests with these outcomes are recorded at any sampling rate.
ALWAYS_RECORDED = frozenset((Outcome.SHED, Outcome.FAILED))
DIGEST_BYTES = 4
DIGEST_RANGE = 1 << (8 * DIGEST_BYTES)


class Sampler:
    """Selects requests by their trace id alone, so that all sidecars select the same ones.

    Attributes:
        records_all: Whether no rate is below 1, so that every request is recorded.
    """

    def __init__(
        self,
        rates: dict[Outcome, float],
        class_rates: dict[str, dict[Outcome, float]],
        class_names: Sequence[str],
    ) -> None:
        """Create a sampler.

        Args:
            rates: Sampling rates (0 to 1) by outcome; a missing rate is 1.
            class_rates: Sampling rates by class name and outcome, which override `rates`.
            class_names: Names of all request classes, in the order of their indexes.
        """
        all_rates = [*rates.values()]
        for rates_of_class in class_rates.values():
            all_rates += rates_of_class.values()
        self.records_all = all(rate >= 1.0 for rate in all_rates)
        self._default_rates = _rates_by_outcome(rates, [1.0] * len(Outcome))
        self._class_rates = {
            index: _rates_by_outcome(class_rates.get(name, {}), self._default_rates)
            for index, name in enumerate(class_names)
        }

    def should_record(self, request_class: int, outcome: Outcome, trace_id: bytes) -> bool:
        """Return whether a request is recorded.

        Args:
            request_class: Index of the request's class; an unknown index has the default rates.
            outcome: How the request ended.
            trace_id: The trace id, as sent by the client.
        """
        rate = self._class_rates.get(request_class, self._default_rates)[outcome]
        if rate >= 1.0:
            return True
        # A cryptographic digest, as a checksum would not spread sequential ids evenly.
        digest = int.from_bytes(blake2b(trace_id, digest_size=DIGEST_BYTES).digest(), "big")
        return digest < rate * DIGEST_RANGE


def _rates_by_outcome(rates: dict[Outcome, float], defaults: list[float]) -> list[float]:
    """Return the sampling rate of each outcome, indexed by the outcome's value."""
    return [
        1.0 if outcome in ALWAYS_RECORDED else rates.get(outcome, defaults[outcome]) for outcome in Outcome
    ]
