"""Interface of what holds attempts back for a moment, as used by the cluster."""

from __future__ import annotations

from typing import Protocol


class SendGate(Protocol):
    """Decides whether an attempt may begin now."""

    def is_open(self) -> bool:
        """Return whether attempts may begin."""

    async def wait_open(self) -> None:
        """Wait until attempts may begin."""


class AlwaysOpen:
    """A gate that holds nothing back."""

    def is_open(self) -> bool:
        """See `SendGate`."""
        return True

    async def wait_open(self) -> None:
        """See `SendGate`."""
