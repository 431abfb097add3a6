"""A view of the decision module's state, for people and tools. It decides nothing and draws no number."""

from enum import Enum
from typing import Any, NamedTuple

from anisespool.balancer.balancer import Balancer
from anisespool.balancer.deadlines import Deadlines
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.interface import RequestArrived, Settings, Tenant
from anisespool.balancer.request import PendingRequest
from anisespool.balancer.settings_names import CONTROL_KEYS


class EndpointView(NamedTuple):
    """One endpoint as the balancer sees it."""

    endpoint: int  # the driver's number
    state: int  # as listed (interface.EndpointState)
    weight: float  # share of the next requests of the first class, 0 to 1
    slowdown: float  # recent response times over the typical ones
    queue: float  # requests queued there by its last load report
    in_flight: int  # attempts of this sidecar
    warmup_remaining_ns: int  # until it counts as warm; 0: warm


class BalancerView(NamedTuple):
    """The balancer's estimates, as of one instant."""

    open_requests: int  # not yet answered
    queueing_ratio: float  # share of their latency objectives that attempts took recently, 0 to 1
    endpoints: tuple[EndpointView, ...]


def inspect(balancer: Balancer, now: int, limit: int) -> BalancerView:
    """Return the module's state as of `now` (monotonic ns); of the endpoints at most `limit`."""
    balancer.now = max(balancer.now, now)
    shares = _shares(balancer)
    views = []
    for number, endpoint in list(balancer.endpoints.by_id.items())[:limit]:
        warmup_ns = max(0, endpoint.warm_at - now)
        slowdown = balancer.estimates.slowdowns.slowdown(endpoint, balancer.now)
        views.append(
            EndpointView(
                number,
                endpoint.listing.state,
                shares.get(number, 0.0),
                slowdown,
                endpoint.reported_queue,
                len(endpoint.in_flight),
                warmup_ns,
            )
        )
    return BalancerView(balancer.open_requests, balancer.admission.queueing.ratio.read(now), tuple(views))


def _shares(balancer: Balancer) -> dict[int, float]:
    candidates: list[Endpoint] = balancer.endpoints.ready
    if not candidates:
        return {}
    now = balancer.now
    event = RequestArrived(0, 0, 0)
    request_class = balancer.settings.classes[0]
    request = PendingRequest(event, request_class, Deadlines(event, request_class, 0, now), now, 0)
    expected_ns = balancer.estimates.class_latencies.typical_latency_ns[0]
    weights = balancer.selector.weights(request, candidates, expected_ns, now)
    total = sum(weights.by_candidate) + weights.no_send or 1.0
    return {e.id: weight / total for e, weight in zip(candidates, weights.by_candidate, strict=True)}


def set_tenant_shares(balancer: Balancer, shares: dict[int, float]) -> Settings:
    """Replace the shares of the tenants with these indexes, from the next event on; return the settings."""
    tenants = [
        Tenant(shares.get(n, tenant.share), tenant.quota_per_s)
        for n, tenant in enumerate(balancer.settings.tenants)
    ]
    balancer.settings = balancer.settings._replace(tenants=tuple(tenants))
    return balancer.settings


def describe_settings(settings: Settings) -> dict[str, Any]:
    """Return the settings as JSON can carry them, under the names that the control socket has for them."""
    described: dict[str, Any] = _plain(settings)
    return described


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if hasattr(value, "_asdict"):
        return {CONTROL_KEYS.get(key, key): _plain(item) for key, item in value._asdict().items()}
    return [_plain(item) for item in value] if isinstance(value, list | tuple) else value
