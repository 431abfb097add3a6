"""Tenant quotas: whether a request is beyond its tenant's share of the requests."""

from __future__ import annotations

from random import Random

from anisespool.balancer import interface as api
from anisespool.balancer.estimates.decaying_value import DecayingValue

QUOTA_TOLERANCE_FACTOR = 1.5  # allows for fluctuations of a tenant's rate
OVER_QUOTA_CAPACITY_SHARE = 0.5  # part of the capacity that is open to a tenant beyond its quota


class TenantQuota:
    """Compares the request rates of the tenants with their shares."""

    def __init__(self, tenant_count: int, half_life_ns: int, random: Random) -> None:
        self._random = random
        self._rates = [DecayingValue(half_life_ns) for _ in range(tenant_count)]

    def record_request(self, tenant: int, now: int) -> None:
        """Count a request; tenants that are not in the settings are not limited."""
        if tenant < len(self._rates):
            self._rates[tenant].add(now)

    def exceeds_quota(self, tenant: int, tenants: tuple[api.Tenant, ...], now: int) -> bool:
        """Decide at random whether this request is one of those that its tenant sends beyond its quota.

        The probability is the part of the tenant's rate above QUOTA_TOLERANCE_FACTOR times the rate of its
        share, given the rates of the other tenants.
        """
        if tenant >= len(self._rates):
            return False
        rates = [rate.read(now) for rate in self._rates]
        share = tenants[tenant].share
        others_rate = sum(rates) - rates[tenant]
        # Both sides are multiplied by 1 - share, which may be 0.
        scaled_draw = self._random.random() * rates[tenant] * (1 - share)
        return scaled_draw > others_rate * share * QUOTA_TOLERANCE_FACTOR
