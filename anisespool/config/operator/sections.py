"""The sections of the operator's file, except those about request records (`record_sections`)."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta, field

from anisespool.config.operator.section import Name, Section

MAX_DRAINED_ENDPOINTS = 1000


class ControlOptions(Section, frozen=True, kw_only=True):
    """`[control]`: the control socket of an instance, `NAME.sock` in a directory with mode 0700.

    Off without the section.

    Attributes:
        directory: Directory of the control sockets of all instances.
        max_connections: Maximum number of clients connected to the control socket.
        idle_timeout_s: Time after which a client that sends nothing is disconnected.
    """

    directory: Name = field(name="folder")
    max_connections: Annotated[int, Meta(ge=1, le=64)] = field(default=8, name="most_connections")
    idle_timeout_s: Annotated[float, Meta(gt=0, le=60)] = field(default=5.0, name="silence_s")


class EndpointOptions(Section, frozen=True, kw_only=True):
    """`[endpoints]`: ids of the endpoints that the operator drains."""

    drained: Annotated[list[Name], Meta(max_length=MAX_DRAINED_ENDPOINTS)] = field(default_factory=list)


class ConnectionOptions(Section, frozen=True, kw_only=True):
    """`[connections]`: connections to endpoints, and idle connections of clients.

    Attributes:
        max_idle_per_endpoint: Maximum number of idle connections to an endpoint. Each takes up a file
            descriptor of the endpoint.
        reuse_delay_ms: Minimum time that a connection stays idle between two requests.
        connect_timeout_ms: Connect timeout. None means the platform's.
        client_idle_timeout_s: Time after a response at which an idle connection of a client is closed.
    """

    max_idle_per_endpoint: Annotated[int, Meta(ge=0, le=10_000)] = field(default=48, name="idle_per_endpoint")
    reuse_delay_ms: Annotated[float, Meta(ge=0, le=10_000)] = field(default=20.0, name="rest_ms")
    connect_timeout_ms: Annotated[float, Meta(gt=0, le=60_000)] | None = None
    client_idle_timeout_s: Annotated[float, Meta(gt=0, le=3600)] = field(default=10.0, name="client_kept_s")


class DiscoveryOptions(Section, frozen=True, kw_only=True):
    """`[discovery]`: an address of the discovery service that replaces the platform's."""

    address: str | None = None


class TenantOptions(Section, frozen=True, kw_only=True):
    """`[members.TENANT]`: a tenant's share of the fleet's capacity, which replaces the platform's."""

    share: Annotated[float, Meta(gt=0, le=1)]


Tenants = Annotated[dict[Name, TenantOptions], Meta(max_length=10_000)]


class MembershipOptions(Section, frozen=True, kw_only=True):
    """`[peers]`: membership of the fleet's sidecars, detected with SWIM and Lifeguard's extensions.

    Off without the section, and if the platform's settings do not allow peer messages (docs/membership.md).

    Attributes:
        probe_interval_ms: Time between two probes.
        ping_timeout_ms: Time to wait for a direct acknowledgement before requesting indirect probes.
        probe_timeout_ms: Time to wait for a direct or indirect acknowledgement before suspecting the target.
        indirect_probes: Number of members requested to probe the target (SWIM's ping-req).
        suspicion_min_ms: Time from the start of a failed probe until the target counts as dead, if it has all
            `confirmations`.
        suspicion_max_ms: The same time without any confirmation.
        confirmations: Number of independent suspicions that reduces this time to its minimum.
        gossip_interval_ms: Time between two rounds of dissemination.
        fanout: Number of members that a round is sent to.
        anti_entropy_interval_ms: Time between two comparisons of a part of the view with another member.
        reconnect_interval_ms: Time between two attempts to reach a member that counts as dead.
        pause_threshold_ms: Delay of this process's own timers beyond which it counts as paused.
        pause_grace_ms: Time after a pause in which this process suspects no member.
        max_datagrams_per_s: Maximum number of datagrams sent per second.
    """

    probe_interval_ms: Annotated[float, Meta(ge=20, le=60_000)] = field(default=120.0, name="period_ms")
    ping_timeout_ms: Annotated[float, Meta(ge=5, le=30_000)] = field(default=200.0, name="answer_ms")
    probe_timeout_ms: Annotated[float, Meta(ge=10, le=60_000)] = field(default=500.0, name="whole_ms")
    indirect_probes: Annotated[int, Meta(ge=0, le=10)] = field(default=3, name="helpers")
    suspicion_min_ms: Annotated[float, Meta(ge=50, le=600_000)] = field(default=2400.0, name="shortest_ms")
    suspicion_max_ms: Annotated[float, Meta(ge=50, le=600_000)] = field(default=3500.0, name="longest_ms")
    confirmations: Annotated[int, Meta(ge=1, le=20)] = field(default=3, name="enough")
    gossip_interval_ms: Annotated[float, Meta(ge=20, le=10_000)] = field(default=200.0, name="gossip_ms")
    fanout: Annotated[int, Meta(ge=1, le=10)] = 3
    anti_entropy_interval_ms: Annotated[float, Meta(ge=50, le=600_000)] = field(
        default=1000.0, name="compare_ms"
    )
    reconnect_interval_ms: Annotated[float, Meta(ge=50, le=600_000)] = field(default=1000.0, name="again_ms")
    pause_threshold_ms: Annotated[float, Meta(ge=50, le=60_000)] = field(default=300.0, name="pause_ms")
    pause_grace_ms: Annotated[float, Meta(ge=0, le=60_000)] = field(default=1000.0, name="grace_ms")
    max_datagrams_per_s: Annotated[float, Meta(ge=1, le=10_000)] = field(default=200.0, name="most_per_s")


class AgentOptions(Section, frozen=True, kw_only=True):
    """`[agent]`: the agent that manages all instances with control sockets in `control.folder`.

    Attributes:
        state_directory: Directory of the agent, with mode 0700.
        tcp_address: `host:port` to listen on beside the Unix socket; requires the three files below.
        certificate_file: Certificate of the server, for TCP.
        key_file: Key of that certificate.
        client_ca_file: CA certificate that verifies the clients' certificates.
        scan_interval_s: Time between two scans of the directory of control sockets.
        poll_interval_s: Time between two polls of an instance.
        request_timeout_s: Time after which an instance that has not responded counts as unreachable.
        max_concurrent_requests: Maximum number of open requests to instances.
        max_instances: Maximum number of instances that the agent manages.
        max_watchers: Maximum number of clients that watch events.
    """

    state_directory: Name = field(name="state")
    tcp_address: str | None = field(default=None, name="tcp")
    certificate_file: str | None = field(default=None, name="certificate")
    key_file: str | None = field(default=None, name="key")
    client_ca_file: str | None = field(default=None, name="clients_ca")
    scan_interval_s: Annotated[float, Meta(gt=0, le=60)] = field(default=0.5, name="scan_s")
    poll_interval_s: Annotated[float, Meta(gt=0, le=60)] = field(default=1.0, name="ask_s")
    request_timeout_s: Annotated[float, Meta(gt=0, le=60)] = field(default=2.0, name="answer_s")
    max_concurrent_requests: Annotated[int, Meta(ge=1, le=1000)] = field(default=64, name="at_once")
    max_instances: Annotated[int, Meta(ge=1, le=100_000)] = field(default=10_000, name="most_instances")
    max_watchers: Annotated[int, Meta(ge=1, le=1000)] = field(default=32, name="most_watchers")

    @property
    def socket_path(self) -> Path:
        """Path of the Unix socket on which the agent's gRPC service listens and the command line finds it."""
        return Path(self.state_directory).absolute() / "agent.sock"
