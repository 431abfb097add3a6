"""A view of the decision module's state, which draws no random numbers, and a change of tenants' shares."""

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

    endpoint: int  # the endpoint's id in events and actions
    state: int  # value of interface.EndpointState in the endpoint list
    weight: float  # share of the next requests of the first class, 0 to 1
    slowdown: float  # ratio of response times to expected latencies
    queue: float  # queue length in the last load report
    in_flight: int  # this sidecar's attempts in flight there
    warmup_remaining_ns: int  # 0: the endpoint is warm


class BalancerView(NamedTuple):
    """The balancer's state at one instant."""

    open_requests: int  # requests that are neither answered nor given up by their clients
    queueing_ratio: float  # share of the latency objectives that recent attempts took, 0 to 1
    endpoints: tuple[EndpointView, ...]


def inspect(balancer: Balancer, now: int, limit: int) -> BalancerView:
    """Return the module's state with at most `limit` endpoints; the module's time advances to `now`."""
    balancer.now = max(balancer.now, now)
    shares = _selection_shares(balancer)
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


def _selection_shares(balancer: Balancer) -> dict[int, float]:
    """Return each ready endpoint's probability of getting a request of the first class."""
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
    """Replace tenants' shares, by index, from the next event on; return the new settings."""
    tenants = [
        Tenant(shares.get(n, tenant.share), tenant.quota_per_s)
        for n, tenant in enumerate(balancer.settings.tenants)
    ]
    balancer.settings = balancer.settings._replace(tenants=tuple(tenants))
    return balancer.settings


def describe_settings(settings: Settings) -> dict[str, Any]:
    """Return the settings as JSON values, under their names in the control socket's JSON."""
    described: dict[str, Any] = _to_json(settings)
    return described


def _to_json(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if hasattr(value, "_asdict"):
        return {CONTROL_KEYS.get(key, key): _to_json(item) for key, item in value._asdict().items()}
    return [_to_json(item) for item in value] if isinstance(value, list | tuple) else value
