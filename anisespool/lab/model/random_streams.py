"""Random numbers: an independent stream for each modelled process, all from one seed.

A stream's numbers depend only on the seed and the stream's name, never on draws from other streams. Two
policies therefore get the same arrivals and faults (common random numbers). numpy's PCG64 and SeedSequence
give the same bits on any machine.
"""

from __future__ import annotations

import zlib

import numpy as np

BLOCK = 512  # numbers drawn at a time: single draws from numpy cost twenty times as much


class RandomStream:
    """One stream of random numbers."""

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """A uniformly distributed number between the two bounds."""
        if not self._uniform:
            self._uniform = self._generator.random(BLOCK).tolist()
        return low + (high - low) * self._uniform.pop()

    def exponential(self, mean: float = 1.0) -> float:
        """An exponentially distributed number."""
        if not self._exponential:
            self._exponential = self._generator.standard_exponential(BLOCK).tolist()
        return mean * self._exponential.pop()

    def normal(self) -> float:
        """A number with standard normal distribution."""
        if not self._normal:
            self._normal = self._generator.standard_normal(BLOCK).tolist()
        return self._normal.pop()

    def below(self, bound: int) -> int:
        """An integer from 0 to `bound` - 1."""
        return min(bound - 1, int(self.uniform() * bound))

    def pick(self, cumulative: list[float]) -> int:
        """An index, drawn with the probabilities whose running sums are `cumulative`, up to 1."""
        draw = self.uniform()
        for index, upper_bound in enumerate(cumulative):
            if draw < upper_bound:
                return index
        return len(cumulative) - 1


class RandomStreams:
    """The streams of one run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def named(self, name: str, number: int = 0) -> RandomStream:
        """Creates the stream with that name and number, at its beginning."""
        sequence = np.random.SeedSequence(self.seed, spawn_key=(zlib.crc32(name.encode()), number))
        return RandomStream(np.random.Generator(np.random.PCG64(sequence)))
