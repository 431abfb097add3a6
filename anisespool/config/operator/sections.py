"""The sections of the operator's file, but for those of request records (`record_sections`)."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta, field

from anisespool.config.operator.section import Name, Section

MAX_DRAINED_ENDPOINTS = 1000


class ControlOptions(Section, frozen=True, kw_only=True):
    """`[control]`: one instance's control socket, `NAME.sock` in a directory of mode 0700.

    Off without the section.

    Attributes:
        directory: The directory of the sockets of all instances.
        max_connections: Clients of the control socket connected at the same time.
        idle_timeout_s: A client that sends nothing for so long is disconnected.
    """

    directory: Name = field(name="folder")
    max_connections: Annotated[int, Meta(ge=1, le=64)] = field(default=8, name="most_connections")
    idle_timeout_s: Annotated[float, Meta(gt=0, le=60)] = field(default=5.0, name="silence_s")


class EndpointOptions(Section, frozen=True, kw_only=True):
    """`[endpoints]`: endpoints that the operator drains, by their ids in the endpoint list."""

    drained: Annotated[list[Name], Meta(max_length=MAX_DRAINED_ENDPOINTS)] = field(default_factory=list)


class ConnectionOptions(Section, frozen=True, kw_only=True):
    """`[connections]`: connections to endpoints, and idle ones of clients.

    Attributes:
        max_idle_per_endpoint: Idle connections kept to one endpoint. Each costs the endpoint a descriptor.
        reuse_delay_ms: How long a connection stays idle between two requests.
        connect_timeout_ms: In place of the platform's; None: the platform's.
        client_idle_timeout_s: A client's connection that is idle for so long after a response is closed.
    """

    max_idle_per_endpoint: Annotated[int, Meta(ge=0, le=10_000)] = field(default=48, name="idle_per_endpoint")
    reuse_delay_ms: Annotated[float, Meta(ge=0, le=10_000)] = field(default=20.0, name="rest_ms")
    connect_timeout_ms: Annotated[float, Meta(gt=0, le=60_000)] | None = None
    client_idle_timeout_s: Annotated[float, Meta(gt=0, le=3600)] = field(default=10.0, name="client_kept_s")


class DiscoveryOptions(Section, frozen=True, kw_only=True):
    """`[discovery]`: the discovery service's address, in place of the platform's where there is one."""

    address: str | None = None


class TenantOptions(Section, frozen=True, kw_only=True):
    """`[members.TENANT]`: one tenant's share of the fleet's capacity, in place of the platform's."""

    share: Annotated[float, Meta(gt=0, le=1)]


Tenants = Annotated[dict[Name, TenantOptions], Meta(max_length=10_000)]


class MembershipOptions(Section, frozen=True, kw_only=True):
    """`[peers]`: which sidecars of the fleet are alive, by SWIM with Lifeguard's extensions.

    Off without the section, and where the platform's settings do not allow peer messages
    (docs/membership.md).

    Attributes:
        probe_interval_ms: Between two probes.
        ping_timeout_ms: For a direct acknowledgement, before indirect probes are requested.
        probe_timeout_ms: For any acknowledgement, direct or not, before the target is suspected.
        indirect_probes: Members that are requested to probe the target (SWIM's ping-req).
        suspicion_min_ms: From a failed probe's start to dead, once `confirmations` others suspect it too.
        suspicion_max_ms: The same where nobody else suspects it.
        confirmations: Independent suspicions that bring the timeout down to its minimum.
        gossip_interval_ms: Between two rounds of dissemination.
        fanout: Members that one round is sent to.
        anti_entropy_interval_ms: Between two comparisons of a part of the view with another member's.
        reconnect_interval_ms: Between two attempts to reach a member that counts as dead.
        pause_threshold_ms: A gap in this process's own timers from which on it counts as paused itself.
        pause_grace_ms: After a pause, before it suspects others again.
        max_datagrams_per_s: Datagrams that it sends.
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
    """`[agent]`: the agent of all instances whose control sockets are in `control.folder`.

    Attributes:
        state_directory: The agent's own directory, mode 0700.
        tcp_address: `host:port` to listen on beside the Unix socket; only with all three files.
        certificate_file: The server's certificate for TCP.
        key_file: The key of that certificate.
        client_ca_file: The authority that signed the clients' certificates.
        scan_interval_s: Between two scans of the directory of control sockets.
        poll_interval_s: Between two polls of one instance.
        request_timeout_s: An instance that takes longer to answer is unreachable.
        max_concurrent_requests: Requests to instances open at once.
        max_instances: Instances that the agent manages.
        max_watchers: Clients that watch events at the same time.
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
        """Where the agent's gRPC service listens and the command line finds it."""
        return Path(self.state_directory).absolute() / "agent.sock"
