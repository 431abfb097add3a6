"""Fixtures for the tests of the listener."""

from __future__ import annotations

from typing import Any

import pytest

from anisespool.listener.server import Server
from anisespool.sidecar import composition


@pytest.fixture
def servers(monkeypatch: pytest.MonkeyPatch) -> list[Server]:
    """The listener of each sidecar that the test starts, to inspect state that clients can't see."""
    created: list[Server] = []

    class CollectedServer(Server):
        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            created.append(self)

    monkeypatch.setattr(composition, "Server", CollectedServer)
    return created
