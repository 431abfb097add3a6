"""The schema of a whole scenario. Each table has its own class."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from anisespool.lab.scenario.base import Count, NotNegative, Positive, Share, Spec, Zone
from anisespool.lab.scenario.faults import Fault, Link
from anisespool.lab.scenario.fleet import Endpoints, Membership, Network, Reports, Rules
from anisespool.lab.scenario.traffic import Burst, Class, Clients, Prices, Tenant, Traffic

StatementKind = Literal[
    "share-below", "share-above", "served", "at-most", "views-agree", "gone-known", "none-dead-that-answers"
]
Groups = Annotated[list[Endpoints], Meta(min_length=1)]
Classes = Annotated[list[Class], Meta(min_length=1, max_length=32)]


class Statement(Spec, frozen=True, kw_only=True):
    """A property that a run with real processes has to have, judged from outside (docs/fleetrig.md).

    Attributes:
        from_s: Start of the judged span, in scenario time.
        to_s: End of the judged span; None: the end of the scenario.
        zone: The zone in which share-* judges the share of arrivals from other zones.
        share: The bound of share-* and served.
        of: The views that views-agree compares. Talkers only have views of members.
        limit: The bound of at-most: units reserved at one moment, or requests per second at an endpoint.
    """

    kind: StatementKind = msgspec.field(name="says")
    from_s: NotNegative = 0.0
    to_s: NotNegative | None = None
    zone: Zone | None = None
    share: Share = 1.0
    of: Literal["lists", "members"] = "lists"
    limit: NotNegative = 0.0


class Scenario(Spec, frozen=True, kw_only=True):
    """A whole scenario. `from_raw` also checks conditions that involve several tables.

    Attributes:
        question: The question that the scenario answers, in one sentence.
        warm_s: Duration of the warm-up, which the metrics exclude. The scenario time starts after it.
        plays: The processes of a live run: sidecars, or talkers, which only gossip.
        quota_of_capacity: Sum of the tenants' quotas, as a share of the fleet's capacity.
        over_share_worth: Factor of the weight of requests beyond their tenant's quota.
        budget: Units that all talkers may have reserved together.
        talk: Whether sidecars may send each other datagrams.
        peers: Whether the operator's file of each sidecar enables membership; None: the same as `talk`.
    """

    question: str = msgspec.field(default="", name="asks")
    include: list[str] = msgspec.field(default_factory=list)
    seconds: Positive = 30.0
    warm_s: NotNegative = 5.0
    sidecars: Count = 1
    endpoints: Groups = msgspec.field(default_factory=lambda: [Endpoints(count=10)])
    classes: Classes = msgspec.field(default_factory=lambda: [Class(name="send-one")])
    traffic: Traffic = Traffic()
    bursts: list[Burst] = msgspec.field(default_factory=list)
    tenants: Annotated[list[Tenant], Meta(max_length=64)] = msgspec.field(default_factory=list)
    quota_of_capacity: Positive = 0.87
    over_share_worth: Share = 0.1
    prices: Prices = Prices()
    clients: Clients = Clients()
    network: Network = Network()
    reports: Reports = Reports()
    membership: Membership = Membership()
    rules: Rules = Rules()
    plays: Literal["sidecars", "talkers"] = "sidecars"
    budget: Positive = 100.0
    talk: bool = False
    peers: bool | None = None
    faults: Annotated[list[Fault], Meta(max_length=1000)] = msgspec.field(
        default_factory=list, name="troubles"
    )
    links: Annotated[list[Link], Meta(max_length=1000)] = msgspec.field(default_factory=list)
    statements: Annotated[list[Statement], Meta(max_length=100)] = msgspec.field(default_factory=list)

    @property
    def endpoint_count(self) -> int:
        """Number of endpoints."""
        return sum(group.count for group in self.endpoints)

    def capacity_per_s(self) -> float:
        """Requests per second, at the classes' mean work, that all endpoints execute without faults."""
        total = sum(c.share for c in self.classes)
        work_s = sum(c.share * c.work_ms for c in self.classes) / total / 1000
        return sum(group.count * group.cores * group.speed for group in self.endpoints) / work_s

    def quotas_per_s(self) -> list[float]:
        """Quota of each tenant at all sidecars together, in requests per second."""
        total = self.quota_of_capacity * self.capacity_per_s()
        return [tenant.share * total for tenant in self.tenants]

    def zones(self) -> list[int]:
        """Zones that have endpoints, sorted."""
        return sorted({group.zone for group in self.endpoints})

    def sidecar_zones(self) -> list[int]:
        """The zone of each sidecar. Sidecars are assigned to the zones in turn."""
        zones = self.zones()
        return [zones[number % len(zones)] for number in range(self.sidecars)]
