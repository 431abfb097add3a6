"""Settings of the connections to all endpoints."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ConnectionSettings:
    """Settings that all pools share. The operator may change some of them at run time."""

    report_columns: tuple[str, ...]
    """Columns of an endpoint's load report, in the balancer's order."""
    connect_timeout_s: float
    """From the first packet until the connection is up."""
    idle_timeout_s: float
    """After it an idle connection is closed; shorter than the endpoint's keep-alive time."""
    reuse_delay_s: float
    """How long a connection stays idle after a response before it may carry the next request."""
    max_idle: int
    """Idle connections kept to one endpoint."""
