"""What a controller may turn on a running instance beside its core: the end, the list's source, the door."""

from __future__ import annotations

from typing import Protocol

from anisespool.config.platform import Address


class Steering(Protocol):
    @property
    def phase(self) -> str:
        """`starting` (no endpoint known yet), `serving` or `draining`."""

    def stop(self) -> None:
        """The planned end, as by SIGTERM."""

    def clients(self) -> dict[str, int]:
        """The application's connections: `open` and `working`."""

    def tune(self, client_kept_s: float) -> None:
        """How long a client's connection may rest after an answer."""

    def watch_at(self, address: Address | None) -> None:
        """Watch the list there; none: where the platform says."""
