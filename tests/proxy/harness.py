"""Harness for a proxy with a scripted balancer, which collects the responses to its clients."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from anisespool.balancer import interface as api
from anisespool.balancer.interface import EndpointListKind
from anisespool.config.platform import EndpointList
from anisespool.config.platform_loader import load_platform_config
from anisespool.fakes.endpoint import OK, Endpoint
from anisespool.fakes.platform import member
from anisespool.proxy.call import Call, FinalResponse
from anisespool.proxy.proxy import Proxy
from anisespool.upstream.cluster import Cluster
from tests.harness.platform_config import write_config
from tests.support import MS, SECOND
from tests.upstream.harness import GET, http_response

NEVER_RAN = http_response("503 Busy", "X-Never-Ran: 1\r\n")


def respond_after(seconds: float) -> Callable[..., Any]:
    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        writer.write(OK)

    return respond


class ScriptedBalancer:
    """Replaces the balancer: records its events and returns the actions that the test specifies."""

    def __init__(self, decide: Callable[[api.Event], list[api.Action]]) -> None:
        self.decide = decide
        self.events: list[api.Event] = []
        self.next_actions: list[api.Action] = []  # returned for the next event instead of those of `decide`

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        if self.next_actions:
            actions = self.next_actions
            self.next_actions = []
            return actions
        return self.decide(event)

    def outcomes(self) -> list[api.AttemptOutcome]:
        return [event for event in self.events if isinstance(event, api.AttemptOutcome)]


class ProxyHarness:
    """A proxy with a scripted balancer, and the final responses to its clients."""

    def __init__(self, proxy: Proxy, cluster: Cluster, balancer: ScriptedBalancer) -> None:
        self.proxy = proxy
        self.cluster = cluster
        self.balancer = balancer
        self.responses: list[FinalResponse] = []

    def start_request(self, request_class: int = 2, timeout_ns: int = SECOND) -> int:
        call = Call(GET, request_class, 0, timeout_ns, None, 0, False)
        return self.proxy.start_request(call, self.responses.append, lambda: False)

    def apply_action(self, action: api.Action) -> None:
        """Make the balancer return this action now, in response to an endpoint list without a change."""
        self.balancer.next_actions.append(action)
        self.proxy.update_endpoints(EndpointList(1, False, ()))


@asynccontextmanager
async def proxy_harness(
    folder: Path, endpoint: Endpoint, decide: Callable[[api.Event], list[api.Action]]
) -> AsyncIterator[ProxyHarness]:
    config = load_platform_config(write_config(folder, endpoint.address, [member("s-0", endpoint.address)]))
    cluster = Cluster(("queue",), 100 * MS, SECOND, 16)
    proxy = Proxy(config, cluster)
    balancer = ScriptedBalancer(decide)
    # A proxy creates its own balancer, and only tests replace it.
    proxy._driver.balancer = balancer  # type: ignore[assignment]
    proxy.update_endpoints(config.initial_endpoints, EndpointListKind.CACHED)
    yield ProxyHarness(proxy, cluster, balancer)


def send_once(event: api.Event) -> list[api.Action]:
    return [api.Send(event.request, 1)] if isinstance(event, api.RequestArrived) else []
