"""The endpoints of a run with real processes: the model's backend behind sockets and a faulty network."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec

from anisespool.balancer.interface import AttemptStatus, EndpointState
from anisespool.config.platform import Address
from anisespool.fakes.discovery import DiscoveryService
from anisespool.fakes.platform import member
from anisespool.lab.live.arrival_log import Arrival, ArrivalLog
from anisespool.lab.live.backend_messages import BackendReady, BackendReport, PeerNetwork, SidecarDiscovery
from anisespool.lab.live.budget_server import BudgetServer
from anisespool.lab.live.connection_proxy import (
    HOST,
    ConnectionProxy,
    InFlightAttempt,
    SidecarConnection,
)
from anisespool.lab.live.datagram_network import DatagramNetwork
from anisespool.lab.live.endpoint_list_feeds import EndpointListFeeds
from anisespool.lab.live.live_fault_target import LiveFaultTarget
from anisespool.lab.live.proxy_table import ProxyTable, proxy_groups
from anisespool.lab.live.request_target import RequestTarget
from anisespool.lab.live.wall_clock import WallClock
from anisespool.lab.model.backend import RESET_SHARE, Backend, hop_ns, node_of, span_ns
from anisespool.lab.model.endpoint import Endpoint, Job
from anisespool.lab.model.faults import schedule
from anisespool.lab.model.link_selector import Node
from anisespool.lab.model.links import Links, for_each_switch
from anisespool.lab.model.metrics import ClientRequest
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.model.timeline import TimelineSampler, utilization
from anisespool.lab.model.watch_delay import WatchDelay
from anisespool.lab.scenario import MS, SECOND, Link, Scenario

MIN_TIMER_NS = MS  # shorter delays are left to the loopback: timers are no finer
DRAIN_SLACK_NS = 50 * MS  # added to the drain grace of the rules, for delays of real sockets
HEARTBEAT_NS = 10 * MS
MESSAGE_BYTES = 600  # assumed size of a request or response, for links with a limited rate
MAX_CLIENT_REQUESTS = 2_000_000
PHASES = {EndpointState.READY: "up", EndpointState.DRAINING: "draining", EndpointState.GONE: "removed"}


class LiveBackend(Backend):
    """The model's backend behind real sockets, with the faulty network in front of it."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.clock: WallClock
        self._streams = RandomStreams(seed)
        super().__init__(scenario, self._streams, WallClock())
        self.scenario_start = 0  # when the scenario's own time begins
        self.zones = scenario.sidecar_zones()
        self.nodes = [Node("sidecar", number, zone) for number, zone in enumerate(self.zones)]
        self.links = Links(scenario.links, self._streams.named("links"))
        self.watch_delay = WatchDelay(scenario, self._streams.named("membership"))
        self.proxies = ProxyTable(self, self.links, self.nodes, proxy_groups(scenario))
        for endpoint in self.endpoints:
            self.proxies.add(endpoint)
        self.feeds = EndpointListFeeds(self.clock, self.links, self.watch_delay, self._list_entry)
        self.datagrams = DatagramNetwork(self.links, self.clock, self.zones)
        self.budget_server = BudgetServer(self.clock)
        self.arrival_log = ArrivalLog()
        self.observer: TimelineSampler | None = None
        self._client_requests: dict[int, ClientRequest] = {}
        self._class_indexes = {spec.name: index for index, spec in enumerate(scenario.classes)}
        self._hop_draws = self._streams.named("network")
        self._loss_draws = self._streams.named("lost")

    async def open(self) -> list[DiscoveryService]:
        """Open all listeners; return a discovery for each sidecar, which the caller has to serve."""
        self.proxies.open_all()
        discoveries = self.feeds.open(self.nodes, self.endpoints)
        self.datagrams.open()
        await self.budget_server.open()
        return discoveries

    def describe(self, services: list[DiscoveryService]) -> BackendReady:
        """Return where sidecars find their discoveries and one another."""
        discoveries = [
            SidecarDiscovery(Address(*service.address), list(service.members.values()))
            for service in services
        ]
        peers = PeerNetwork(self.datagrams.peers, self.datagrams.broadcast, self.budget_server.address)
        return BackendReady(discoveries, peers)

    def start(self, first: int) -> None:
        """Start the run; `first` is its first moment, monotonic ns."""
        self.scenario_start, end = span_ns(self.scenario, first)
        self.links.set_scenario_start(self.scenario_start)
        for_each_switch(self.links, lambda when, fault, begins: self.clock.at(when, self.apply_links))
        target = LiveFaultTarget(self, self._streams.named("machines"))
        schedule(target, self._streams.named("troubles"), self._streams.named("processes"))
        self.observer = TimelineSampler(self, self.scenario_start, end)
        self._heartbeat(self.clock.now)

    def _heartbeat(self, due: int) -> None:
        """Record this process's own lateness, so that sidecars are not blamed for requests it reads late."""
        now = self.clock.now
        self.arrival_log.heartbeat(now, max(0, now - due))
        self.clock.at(now + HEARTBEAT_NS, self._heartbeat, now + HEARTBEAT_NS)

    def close(self) -> None:
        """Close all sockets but the discoveries'."""
        self.datagrams.close()
        self.budget_server.close()
        self.proxies.close()

    def report(self) -> BackendReport:
        """Return what the endpoints and the network counted."""
        executions = {
            number: client_request.executions
            for number, client_request in self._client_requests.items()
            if client_request.executions
        }
        log = self.arrival_log
        return BackendReport(
            rule_violation=self.clock.rule_violation,
            internal_error=self.clock.internal_error,
            executions=executions,
            utilization=utilization(self),
            timeline=self.observer.samples if self.observer else [],
            links=self.links.counts,
            datagrams=self.datagrams.counts,
            heard=list(self.datagrams.delivery_slots),
            budget_peaks=self.budget_server.peaks,
            arrival_count=log.arrival_count,
            arrivals=log.arrivals,
            fault_notes=log.fault_notes,
            stalls=log.stalls,
            longest_stall_ns=log.longest_stall_ns,
        )

    def add_link(self, link: Link) -> None:
        """Add a faulty link during the run; its `at_s` counts from now."""
        since_s = (self.clock.now - self.scenario_start) / SECOND
        shifted = msgspec.structs.replace(link, at_s=max(0.0, since_s + link.at_s))
        fault = self.links.add(shifted)
        self.clock.at(fault.begin, self.apply_links)
        self.clock.at(fault.end, self.apply_links)

    def apply_links(self) -> None:
        """Apply the link faults that are in effect now to listeners and discoveries."""
        now = self.clock.now
        self.proxies.apply_links(now)
        self.feeds.apply_links(now)

    def _link_delay(self, src: Node, dst: Node, connection: SidecarConnection) -> int | None:
        """Return by how many ns a message on the connection is delayed; none if the connection is reset."""
        if not self.links:
            return 0
        delay = self.links.stream_delay(self.clock.now, src, dst, MESSAGE_BYTES, "requests")
        if isinstance(delay, str):
            connection.reset()
            return None
        return delay

    def _call_after_hops(
        self,
        job: Job,
        endpoint: Endpoint,
        hops: int,
        link_delay: int,
        callback: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Call `callback` after `link_delay` ns and `hops` one-way trips between sidecar and endpoint."""
        width = self.scenario.network.spread
        spread = self._hop_draws.uniform(1 - width, 1 + width) if width else 1.0
        is_same_zone = self.zones[job.sidecar] == endpoint.spec.zone
        delay = link_delay + hops * hop_ns(self.scenario, is_same_zone, spread, endpoint.faults.delay_factor)
        if delay < MIN_TIMER_NS:
            self.clock.call(callback, arguments)  # records a broken rule, as a timer would
        else:
            self.clock.after(delay, callback, *arguments)

    def request_received(
        self, proxy: ConnectionProxy, connection: SidecarConnection, path: bytes, trace: bytes, is_first: bool
    ) -> InFlightAttempt | None:
        """Record the arrival, and pass the request to its endpoint after the network's delay."""
        target = RequestTarget.parse(path)
        endpoint = proxy.endpoint
        now = self.clock.now
        link_delay = self._link_delay(self.nodes[target.sidecar], node_of(endpoint), connection)
        delivered_at = 0 if link_delay is None else now + link_delay
        self.arrival_log.add(self._arrival(target, endpoint, now, delivered_at))
        if link_delay is None:
            return None
        attempt = self._attempt(target, endpoint, connection, trace, now, link_delay)
        handshake_hops = 2 * self.scenario.network.handshake_trips if is_first else 0
        self._call_after_hops(
            attempt, endpoint, 1 + handshake_hops, link_delay, self._arrive_unless_over, attempt
        )
        return attempt

    def _attempt(
        self,
        target: RequestTarget,
        endpoint: Endpoint,
        connection: SidecarConnection,
        trace: bytes,
        now: int,
        link_delay: int,
    ) -> InFlightAttempt:
        return InFlightAttempt(
            sidecar=target.sidecar,
            request=target.client_request,
            attempt=target.attempt,
            endpoint=endpoint.id,
            sent_at=now,
            work_ns=target.work_ns,
            client_request=self._client_request(target, now),
            incarnation=endpoint.incarnation,
            connection=connection,
            trace=trace,
            delivered_at=now + link_delay,
            is_delayed=link_delay > 0,
        )

    def _client_request(self, target: RequestTarget, now: int) -> ClientRequest:
        """Return the client's request that an attempt belongs to, creating it for its first attempt."""
        known = self._client_requests.get(target.client_request)
        if known:
            return known
        if len(self._client_requests) >= MAX_CLIENT_REQUESTS:
            raise RuntimeError(f"over {MAX_CLIENT_REQUESTS} client requests")
        new = ClientRequest(
            number=target.client_request,
            class_index=self._class_indexes[target.class_name],
            arrived_at=now,
            work_ns=target.work_ns,
            sidecar=target.sidecar,
            patience=1.0,
            honors_retry_after=False,
        )
        self._client_requests[target.client_request] = new
        return new

    def _arrival(self, target: RequestTarget, endpoint: Endpoint, now: int, delivered_at: int) -> Arrival:
        not_ready_since = self.feeds.not_ready_since(target.sidecar, endpoint)
        grace_ns = int(self.scenario.rules.drain_grace_ms * MS) + DRAIN_SLACK_NS
        return Arrival(
            received_at=self.arrival_log.earliest_arrival(now),
            sidecar=target.sidecar,
            endpoint=endpoint.id - 1,
            zone=endpoint.spec.zone,
            client_request=target.client_request,
            attempt=target.attempt,
            started_at=target.started_us * 1000,
            deadline=target.deadline_us * 1000,
            delivered_at=delivered_at,
            drain_deadline=0 if not_ready_since is None else not_ready_since + grace_ns,
        )

    def _arrive_unless_over(self, attempt: InFlightAttempt) -> None:
        if not attempt.ended or attempt.is_delayed:
            self.receive_request(attempt)

    def connection_closed(self, attempt: InFlightAttempt) -> None:
        """Notify the endpoint of the end of a connection, after the network's delay."""
        now = self.clock.now
        endpoint = self.endpoints[attempt.endpoint - 1]
        delay: int | str = 0
        if self.links:
            delay = self.links.stream_delay(
                now, self.nodes[attempt.sidecar], node_of(endpoint), 0, "requests"
            )
        delay_ns = 0 if isinstance(delay, str) else delay
        if attempt.is_delayed:  # the end of the connection must not overtake the request
            delay_ns = max(delay_ns, attempt.delivered_at + MS - now)
        if delay_ns > 0:
            self.clock.after(delay_ns, self.cancel_request, attempt)
        else:
            self.cancel_request(attempt)

    def sidecar_knows_start(self, job: Job, endpoint: Endpoint) -> bool:
        """Return whether the job's sidecar was notified of the endpoint's last start."""
        return self.feeds.was_notified_of_start(job.sidecar, endpoint)

    def send_response(
        self, endpoint: Endpoint, job: Job, status: AttemptStatus, load: tuple[float, ...]
    ) -> None:
        """Send a response through the network; a faulty endpoint may lose it."""
        assert isinstance(job, InFlightAttempt)
        assert job.connection
        loss = endpoint.faults.response_loss
        if loss and self._loss_draws.uniform() < loss:
            self._lose_response(job, job.connection)
            return
        link_delay = self._link_delay(node_of(endpoint), self.nodes[job.sidecar], job.connection)
        if link_delay is None:
            return
        header = self._load_header(load)
        self._call_after_hops(job, endpoint, 1, link_delay, job.connection.respond, job, status, header)

    def _lose_response(self, attempt: InFlightAttempt, connection: SidecarConnection) -> None:
        """Reset the connection instead of responding, or send nothing until the sidecar gives up."""
        if self._loss_draws.uniform() < RESET_SHARE and not attempt.ended:
            connection.reset()

    def _load_header(self, load: tuple[float, ...]) -> bytes:
        if not load:
            return b""
        columns = zip(self.columns, load, strict=True)
        fields = ", ".join(f"{name}={figure:g}" for name, figure in columns)
        return f"Endpoint-Load-Metrics: TEXT {fields}\r\n".encode()

    def _list_entry(self, endpoint: Endpoint, sidecar: int) -> dict[str, Any]:
        """Return the endpoint's entry in a sidecar's list, in the platform's JSON."""
        monotonic_to_unix_ns = time.time_ns() - time.monotonic_ns()
        up_since_ms = max(1, (endpoint.started_at + monotonic_to_unix_ns) // MS) if endpoint.started_at else 0
        has_size = self.scenario.membership.weights == "nominal"
        return member(
            f"s-{endpoint.id}",
            Address(HOST, self.proxies.port(endpoint, sidecar)),
            PHASES[endpoint.list_state],
            locality=f"z{endpoint.spec.zone}",
            flavor=f"m{endpoint.group}",
            up_since_ms=up_since_ms,
            size=endpoint.spec.cores * endpoint.spec.speed if has_size else 1.0,
        )
