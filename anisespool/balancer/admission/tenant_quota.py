"""Is a request beyond its tenant's share of the requests?"""

from __future__ import annotations

from random import Random

from anisespool.balancer import interface as api
from anisespool.balancer.estimates.decaying_value import DecayingValue

QUOTA_TOLERANCE_FACTOR = 1.5  # a tenant's rate fluctuates by as much around its share
OVER_QUOTA_CAPACITY_SHARE = 0.5  # of the capacity, for a tenant beyond its share


class TenantQuota:
    """The request rates of the tenants, against their shares."""

    def __init__(self, tenant_count: int, half_life_ns: int, random: Random) -> None:
        self._random = random
        self._rates = [DecayingValue(half_life_ns) for _ in range(tenant_count)]

    def record_request(self, tenant: int, now: int) -> None:
        """Count a request; a tenant that is not in the settings is not limited."""
        if tenant < len(self._rates):
            self._rates[tenant].add(now)

    def exceeds_quota(self, tenant: int, tenants: tuple[api.Tenant, ...], now: int) -> bool:
        """Return whether, at random, this request is part of what its tenant sends beyond its share.

        Args:
            tenant: Its index.
            tenants: With their shares, 0 to 1.
            now: Monotonic ns.
        """
        if tenant >= len(self._rates):
            return False
        rates = [rate.read(now) for rate in self._rates]
        share = tenants[tenant].share
        by_others = sum(rates) - rates[tenant]
        own = self._random.random() * rates[tenant] * (1 - share)
        return own > by_others * share * QUOTA_TOLERANCE_FACTOR
