"""Attempts between simulated sidecars and endpoints: connections, network delays, resets, time-outs."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus
from anisespool.lab.model.backend import RESET_SHARE, hop_ns, node_of
from anisespool.lab.model.checker import require
from anisespool.lab.model.clients import Clients, RequestKey
from anisespool.lab.model.endpoint import Endpoint, Job
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.model.sidecar import Sidecar
from anisespool.lab.model.simulated_run import SimulatedRun
from anisespool.lab.scenario import MS

MESSAGE_BYTES = 600  # size of a request or response on a link with a limited rate


class AttemptKey(NamedTuple):
    """Identifies an attempt by its sidecar, request and index."""

    sidecar: int
    request: int
    attempt: int


class Attempts:
    """All open attempts, and the connections that carry them."""

    def __init__(self, run: SimulatedRun, clients: Clients, streams: RandomStreams) -> None:
        self._run = run
        self._scenario = run.scenario
        self._clock = run.clock
        self._metrics = run.metrics
        self._links = run.links
        self._clients = clients
        self._network_random = streams.named("network")
        self._loss_random = streams.named("lost")
        self._isolated_zones: set[int] = set()
        self._jobs: dict[AttemptKey, Job] = {}

    def isolate_zone(self, zone: int, begins: bool) -> None:
        """Isolates a zone, or ends its isolation. Connections stay open; messages under way are lost."""
        if begins:
            self._isolated_zones.add(zone)
        else:
            self._isolated_zones.discard(zone)

    def _is_isolated(self, sidecar: Sidecar, endpoint: Endpoint) -> bool:
        zone = endpoint.spec.zone
        if sidecar.zone == zone:
            return False
        return sidecar.zone in self._isolated_zones or zone in self._isolated_zones

    def _draw_hop(self, sidecar: Sidecar, endpoint: Endpoint) -> int:
        """Draws a one-way delay, ns."""
        width = self._scenario.network.spread
        spread = self._network_random.uniform(1 - width, 1 + width) if width else 1.0
        return hop_ns(
            self._scenario, sidecar.zone == endpoint.spec.zone, spread, endpoint.faults.delay_factor
        )

    def _request_delay(self, sidecar: Sidecar, endpoint: Endpoint) -> int | None:
        """Delay that links add to a request on an open connection, ns; None if they reset the connection."""
        if not self._links:
            return 0
        delay = self._links.stream_delay(
            self._clock.now, sidecar.node, node_of(endpoint), MESSAGE_BYTES, "requests"
        )
        return delay if isinstance(delay, int) else None

    def _response_delay(self, sidecar: Sidecar, endpoint: Endpoint) -> int | None:
        """Delay that links add to a response, ns; None if they reset the connection."""
        if not self._links:
            return 0
        delay = self._links.stream_delay(
            self._clock.now, node_of(endpoint), sidecar.node, MESSAGE_BYTES, "requests"
        )
        return delay if isinstance(delay, int) else None

    def send(self, sidecar: Sidecar, action: api.Send) -> None:
        """Starts an attempt, and schedules its time-out."""
        now = self._clock.now
        request = self._clients.open.get(RequestKey(sidecar.number, action.request))
        require(request is not None, "rule 1: a send for a request that has ended")
        assert request
        client_request = request.client_request
        endpoint = self._run.endpoints[action.endpoint - 1]
        job = Job(
            sidecar=sidecar.number,
            request=action.request,
            attempt=len(sidecar.checker.requests[action.request].attempts) - 1,
            endpoint=action.endpoint,
            sent_at=now,
            work_ns=client_request.work_ns,
            client_request=client_request,
            incarnation=endpoint.incarnation,
        )
        self._jobs[_key(job)] = job
        self._metrics.attempts += 1
        if endpoint.spec.zone != sidecar.zone and now >= self._run.scenario_start:
            self._metrics.crossings += 1
        self._run.log("send", client_request.number, action.endpoint)
        timeout_at = now + action.timeout_ns
        gives_up_at = min(timeout_at, request.deadline) if action.timeout_ns else request.deadline
        self._clock.at(gives_up_at, self._give_up, job, AttemptStatus.TIMEOUT)
        self._connect(sidecar, endpoint, job)

    def _connect(self, sidecar: Sidecar, endpoint: Endpoint, job: Job) -> None:
        hop = self._draw_hop(sidecar, endpoint)
        if sidecar.take_idle_connection(endpoint.id):
            job.connected = True
            self._transmit(sidecar, endpoint, job, hop)
            return
        job.fresh = True
        cut = ""
        if self._links:
            cut = self._links.cut_between(self._clock.now, sidecar.node, node_of(endpoint), "requests")
        if self._is_unreachable(sidecar, endpoint) or cut == "silent":
            timeout = int(self._scenario.network.connect_timeout_ms * MS)
            self._clock.after(timeout, self._end, job, AttemptStatus.CONNECT_FAILED)
        elif cut or endpoint.faults.dead or endpoint.connections >= endpoint.spec.connections:
            self._clock.after(2 * hop, self._end, job, AttemptStatus.CONNECT_FAILED)
        else:
            self._open_connection(sidecar, endpoint, job, hop)

    def _is_unreachable(self, sidecar: Sidecar, endpoint: Endpoint) -> bool:
        """Whether an attempt to connect gets no answer."""
        return endpoint.faults.vanished or endpoint.overloaded or self._is_isolated(sidecar, endpoint)

    def _open_connection(self, sidecar: Sidecar, endpoint: Endpoint, job: Job, hop: int) -> None:
        endpoint.connections += 1
        if self._clock.now >= self._run.scenario_start:
            self._metrics.handshakes += 1
        job.work_ns += int(self._scenario.network.handshake_work_ms * MS)
        trips = 2 * self._scenario.network.handshake_trips * hop
        self._clock.after(trips, self._connected, sidecar, endpoint, job)

    def _connected(self, sidecar: Sidecar, endpoint: Endpoint, job: Job) -> None:
        if endpoint.incarnation != job.incarnation:
            self._end(job, AttemptStatus.CONNECT_FAILED)
        elif job.ended:  # given up meanwhile: a later attempt can use the connection
            sidecar.add_idle_connection(endpoint.id)
        else:
            job.connected = True
            self._transmit(sidecar, endpoint, job, self._draw_hop(sidecar, endpoint))

    def _transmit(self, sidecar: Sidecar, endpoint: Endpoint, job: Job, hop: int) -> None:
        """Sends the request. A zone's isolation loses it; links may delay it or reset the connection."""
        if self._is_isolated(sidecar, endpoint):
            return
        delay = self._request_delay(sidecar, endpoint)
        if delay is None:
            self._clock.after(hop, self._end, job, AttemptStatus.RESET)
            return
        job.delayed_until = self._clock.now + delay if delay else 0
        self._clock.after(hop + delay, self._run.receive_request, job)

    def send_response(
        self, endpoint: Endpoint, job: Job, status: AttemptStatus, load: tuple[float, ...]
    ) -> None:
        """Sends an endpoint's response back, unless the network or the endpoint loses it."""
        sidecar = self._run.sidecars[job.sidecar]
        loss = endpoint.faults.response_loss
        hop = self._draw_hop(sidecar, endpoint)
        if self._is_isolated(sidecar, endpoint):
            return
        if loss and self._loss_random.uniform() < loss:  # the sidecar gets a reset, or a time-out
            if self._loss_random.uniform() < RESET_SHARE:
                self._clock.after(hop, self._end, job, AttemptStatus.RESET)
            return
        delay = self._response_delay(sidecar, endpoint)
        if delay is None:
            self._clock.after(hop, self._end, job, AttemptStatus.RESET)
        else:
            self._clock.after(hop + delay, self._response_received, endpoint, job, status, load)

    def _response_received(
        self, endpoint: Endpoint, job: Job, status: AttemptStatus, load: tuple[float, ...]
    ) -> None:
        if not job.ended and endpoint.incarnation == job.incarnation:
            self._run.sidecars[job.sidecar].add_idle_connection(endpoint.id)
        self._end(job, status, load)

    def reset_connections(self, endpoint: Endpoint) -> None:
        """Resets an endpoint's connections. Requests sent on them may have been executed."""
        for job in [job for job in self._jobs.values() if job.endpoint == endpoint.id]:
            if job.connected:
                hop = self._draw_hop(self._run.sidecars[job.sidecar], endpoint)
                self._clock.after(hop, self._end, job, AttemptStatus.RESET)
            else:  # at once: once open, it could execute a request reported as not executed
                self._end(job, AttemptStatus.CONNECT_FAILED)
        for sidecar in self._run.sidecars:
            sidecar.idle_connections.pop(endpoint.id, None)

    def cancel(self, sidecar: Sidecar, action: api.Cancel) -> None:
        """Cancels an attempt, unless it has ended."""
        job = self._jobs.get(AttemptKey(sidecar.number, action.request, action.attempt))
        if job:
            self._give_up(job, AttemptStatus.CANCELLED)

    def _give_up(self, job: Job, status: AttemptStatus) -> None:
        """Ends an attempt by time-out or cancellation. Without a connection its request was not executed."""
        if job.ended:
            return
        sidecar = self._run.sidecars[job.sidecar]
        if sidecar.frozen_until > self._clock.now:
            self._clock.at(sidecar.frozen_until, self._give_up, job, status)
            return
        if job.connected:  # the close arrives after a request that a link still delays
            hop = self._draw_hop(sidecar, self._run.endpoints[job.endpoint - 1])
            link_delay = max(0, job.delayed_until - self._clock.now)
            self._clock.after(hop + link_delay, self._run.cancel_request, job)
        elif status is AttemptStatus.TIMEOUT:
            status = AttemptStatus.CONNECT_FAILED
        self._end(job, status)

    def _end(self, job: Job, status: AttemptStatus, load: tuple[float, ...] = ()) -> None:
        """Ends an attempt, unless it has ended, and reports its outcome to the decision module."""
        if job.ended:
            return
        sidecar = self._run.sidecars[job.sidecar]
        if sidecar.frozen_until > self._clock.now:
            self._clock.at(sidecar.frozen_until, self._end, job, status, load)
            return
        job.ended = True
        del self._jobs[_key(job)]
        self._run.log("end", job.client_request.number, job.endpoint, status.value)
        key = RequestKey(job.sidecar, job.request)
        if status is AttemptStatus.OK:
            self._clients.succeed(key)
        finished = key not in self._clients.open
        latency = self._clock.now - job.sent_at
        self._run.handle(
            sidecar,
            api.AttemptOutcome(job.request, job.endpoint, job.attempt, latency, status, finished, load),
        )

    def drop_all(self, sidecar: Sidecar) -> None:
        """Drops all attempts of a sidecar whose process died."""
        for job in [job for job in self._jobs.values() if job.sidecar == sidecar.number]:
            job.ended = True
            del self._jobs[_key(job)]


def _key(job: Job) -> AttemptKey:
    return AttemptKey(job.sidecar, job.request, job.attempt)
