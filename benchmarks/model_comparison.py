"""Compares figures of real runs with the model's on the same scenarios, for `reality` and `fleetrig`."""

from __future__ import annotations

from typing import Any

from benchmarks.pairs import Pair, differences
from benchmarks.report import Report

FIGURES = ("service", "refused")
"""Names of figures in the lab's results."""


class ModelComparison:
    """Figures of real runs, each paired with the model's as the reference."""

    def __init__(self, max_difference: float) -> None:
        """Create a comparison without scenarios.

        Args:
            max_difference: The objective: the maximum difference of a figure.
        """
        self._max_difference = max_difference
        self._pairs_by_scenario: dict[str, dict[str, Pair]] = {figure: {} for figure in FIGURES}

    def add(self, name: str, real: dict[str, Any], model: dict[str, Any]) -> None:
        """Add the figures of a scenario."""
        for figure, pairs in self._pairs_by_scenario.items():
            pairs[name] = Pair(real[figure], model[figure])

    def check_objectives(self, report: Report, name: str) -> None:
        """Check the figures of an added scenario."""
        for figure, pairs in self._pairs_by_scenario.items():
            difference = abs(pairs[name].difference)
            text = f"{name}: {figure} {difference:.3f} apart, at most {self._max_difference} wanted"
            report.check_objective(difference <= self._max_difference, text)

    def add_notes(self, report: Report) -> None:
        """Report the spread of the differences over the scenarios."""
        for figure, pairs in self._pairs_by_scenario.items():
            if pairs:
                spread = differences(pairs.values())
                report.add_note(f"{figure}, real minus model, {len(pairs)} scenarios: {spread}")
