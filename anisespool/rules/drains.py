"""Endpoints that an operator drains: what he says holds beside what discovery says, and neither undoes the
other."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from shuntlead.interface import EndpointState


def effective(listed: int, drained: bool) -> int:
    """The state that the module is told, of the state in discovery's list."""
    return EndpointState.DRAINING if drained and listed == EndpointState.READY else listed


def leaves_none(ready: Collection[str], drained: Iterable[str]) -> bool:
    """Whether a drain takes the last endpoint that may be sent to."""
    return bool(ready) and not set(ready) - set(drained)
