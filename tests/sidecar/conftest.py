"""Fixtures for tests of whole sidecars."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from anisespool.fakes.platform import reserve_port


@pytest.fixture
def listen() -> Iterator[str]:
    """A listen address that no other process is given until the test ends.

    A port that is only found free may be given to the listener of another test, which binds its port before
    it listens and then can't listen.
    """
    with reserve_port() as reserved:
        yield "{}:{}".format(*reserved.getsockname())
