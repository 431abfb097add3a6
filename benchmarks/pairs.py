"""Takes measurements in pairs, and computes the spread of repeated values.

The other load on the machine changes from minute to minute. Two programs are therefore compared by pairs of
measurements that directly follow each other, and a compared figure is reported with its spread.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar

Arm = TypeVar("Arm")


@dataclass(frozen=True, slots=True)
class Spread:
    """Minimum, quartiles, median and maximum of repeated values."""

    minimum: float
    lower: float
    median: float
    upper: float
    maximum: float

    @classmethod
    def of(cls, values: Iterable[float]) -> Spread:
        """Return the spread of `values`.

        Raises:
            ValueError: There are no values.
        """
        ordered = sorted(values)
        if not ordered:
            raise ValueError("cannot compute the spread of no values, at least one is needed")
        lower, median, upper = statistics.quantiles(ordered, n=4) if len(ordered) > 1 else ordered * 3
        minimum, maximum = ordered[0], ordered[-1]
        # The quartiles that `statistics` extrapolates from two values lie outside of them.
        return cls(minimum, max(minimum, lower), median, min(maximum, upper), maximum)

    @property
    def quartiles(self) -> str:
        """The range of the middle half of the values, as text."""
        return f"{self.lower:.3f} to {self.upper:.3f}"

    def __str__(self) -> str:
        return f"median {self.median:.3f}, quartiles {self.quartiles}"


@dataclass(frozen=True, slots=True)
class Pair:
    """A figure and its reference, from directly successive measurements."""

    measured: float
    reference: float

    @property
    def ratio(self) -> float:
        """The figure divided by its reference."""
        return self.measured / self.reference

    @property
    def difference(self) -> float:
        """The figure minus its reference."""
        return self.measured - self.reference


def pair_up(measured: Iterable[float], reference: Iterable[float]) -> list[Pair]:
    """Pair figures by position; both iterables have the same length."""
    return [Pair(*figures) for figures in zip(measured, reference, strict=True)]


def ratios(pairs: Iterable[Pair]) -> Spread:
    """Return the spread of the pairs' ratios."""
    return Spread.of(pair.ratio for pair in pairs)


def differences(pairs: Iterable[Pair]) -> Spread:
    """Return the spread of the pairs' differences."""
    return Spread.of(pair.difference for pair in pairs)


def in_turn(arms: Sequence[Arm], rounds: int) -> Iterator[Arm]:
    """Yield each arm once per round. Every other round is reversed, so that drift affects all alike."""
    for number in range(rounds):
        yield from arms if number % 2 == 0 else arms[::-1]


def measure_pairs(
    measured: Callable[[], float], reference: Callable[[], float], count: int
) -> Iterator[Pair]:
    """Call both functions alternately, and yield `count` pairs of their results.

    Every other pair begins with the reference, so that a drift of the machine affects both equally.
    """
    for number in range(count):
        if number % 2 == 0:
            yield Pair(measured(), reference())
        else:
            reference_figure = reference()
            yield Pair(measured(), reference_figure)
