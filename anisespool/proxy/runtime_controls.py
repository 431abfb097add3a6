"""The controls of a running sidecar that are not part of its proxy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from anisespool.config.platform import Address

if TYPE_CHECKING:
    from anisespool.config.operator import SamplingOptions


class RuntimeControls(Protocol):
    """Controls of a running sidecar's lifecycle, client connections, request records and discovery."""

    @property
    def phase(self) -> str:
        """`starting` (no endpoint is ready), `serving` or `draining` (the graceful shutdown has begun)."""

    def begin_shutdown(self) -> None:
        """Start the graceful shutdown, as SIGTERM does."""

    def client_connections(self) -> dict[str, int]:
        """Return the number of client connections (`open`) and of those with an open request (`working`)."""

    def set_client_idle_timeout(self, timeout_s: float) -> None:
        """Set how long a client connection may stay idle after a response."""

    def set_sampling(self, sampling: SamplingOptions) -> None:
        """Set which request records are written from now on."""

    def set_discovery_address(self, address: Address | None) -> None:
        """Watch the endpoint list at this address, or at the platform's address if it is None."""
