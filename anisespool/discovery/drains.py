"""Decides which endpoints are draining: by the endpoint list, the operator, or an earlier list.

The endpoint list and the operator are independent: ending a drain by one does not end a drain by the other.
Pure: no I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from anisespool.balancer.interface import EndpointState
from anisespool.discovery.contact import DiscoveryContact

# The platform's protocol counts a change as delivered at the latest 6 s after discovery could be reached, so
# a service that is behind has caught up by then. One that still disagrees numbers its revisions differently
# or has ended the drain, so its list takes effect.
CATCH_UP_NS = 6_000_000_000
# The largest fleet has 3,200 endpoints; all of them may be replaced twice before an older list arrives.
MAX_WITHDRAWN_ENDPOINTS = 8192
# Lower than the revision of any list.
NO_REVISION = -1


def effective_state(listed_state: int, drained_by_operator: bool) -> int:
    """Return the state to report to the balancer for an endpoint that is listed as `listed_state`."""
    if drained_by_operator and listed_state == EndpointState.READY:
        return EndpointState.DRAINING
    return listed_state


def leaves_no_ready_endpoint(ready: Collection[str], drained: Iterable[str]) -> bool:
    """Return whether draining `drained` would take the last of the `ready` endpoints out of use."""
    return bool(ready) and not set(ready) - set(drained)


@dataclass(frozen=True, slots=True)
class _Withdrawal:
    """Record of an endpoint that was draining or gone in a list.

    Attributes:
        covered_until_ns: The endpoint's processes that started up to this monotonic time are withdrawn: those
            that the list may have known. A list that is behind may have any earlier start.
        revision: Highest revision of a list in which it was draining or gone.
        contradicted_at_ns: Monotonic time when an older list first had the endpoint as ready; 0 if none had.
    """

    covered_until_ns: int
    revision: int
    contradicted_at_ns: int = 0


class DrainTracker:
    """Keeps endpoints withdrawn when an older endpoint list has them as ready.

    A new configuration may name a discovery service that is behind the previous one. An endpoint that the
    previous one listed as draining or gone stays withdrawn until a list of the same or a higher revision has
    it as ready, it is listed with a start after its withdrawal, or discovery has been heard for `catch_up_ns`
    without a break since an older list contradicted the withdrawal. At most `max_endpoints` withdrawals are
    stored; the least recently updated one is dropped first.

    Attributes:
        catch_up_ns: How long discovery has to be heard before an older list that contradicts a withdrawal
            takes effect.
    """

    def __init__(
        self,
        contact: DiscoveryContact,
        catch_up_ns: int = CATCH_UP_NS,
        max_endpoints: int = MAX_WITHDRAWN_ENDPOINTS,
    ) -> None:
        """Begin without withdrawals.

        Args:
            contact: The contact with discovery.
            catch_up_ns: See the attribute.
            max_endpoints: Limit on the stored withdrawals.
        """
        self._contact = contact
        self.catch_up_ns = catch_up_ns
        self._max_endpoints = max_endpoints
        # Withdrawals by endpoint id, least recently updated first.
        self._withdrawals: dict[str, _Withdrawal] = {}

    def resolve(
        self, now_ns: int, endpoint_id: str, started_ns: int, listed_state: int, revision: int
    ) -> int:
        """Return the effective state of an endpoint, given its entry in a list.

        Args:
            now_ns: Monotonic time.
            started_ns: Start time of the endpoint's process in the list.
            listed_state: The endpoint's state in the list.
            revision: The list's revision.

        Returns:
            `listed_state`, or DRAINING if the list is older than the one that withdrew the endpoint.
        """
        withdrawal = self._withdrawals.pop(endpoint_id, _Withdrawal(started_ns, NO_REVISION))
        if listed_state != EndpointState.READY:
            if started_ns <= withdrawal.covered_until_ns:
                revision = max(withdrawal.revision, revision)
            covered_until_ns = max(withdrawal.covered_until_ns, started_ns, now_ns)
            self._store(endpoint_id, _Withdrawal(covered_until_ns, revision))
            return listed_state
        if not self._overrides(withdrawal, started_ns, revision):
            return listed_state
        contradicted_at_ns = withdrawal.contradicted_at_ns or now_ns
        self._store(endpoint_id, replace(withdrawal, contradicted_at_ns=contradicted_at_ns))
        return EndpointState.DRAINING

    def _overrides(self, withdrawal: _Withdrawal, started_ns: int, revision: int) -> bool:
        """Return whether the withdrawal overrides a list of `revision` that has the endpoint as ready."""
        if started_ns > withdrawal.covered_until_ns or revision >= withdrawal.revision:
            return False
        contradicted_at_ns = withdrawal.contradicted_at_ns
        return not contradicted_at_ns or self._contact.heard_ns_since(contradicted_at_ns) < self.catch_up_ns

    def _store(self, endpoint_id: str, withdrawal: _Withdrawal) -> None:
        self._withdrawals[endpoint_id] = withdrawal
        if len(self._withdrawals) > self._max_endpoints:
            del self._withdrawals[next(iter(self._withdrawals))]
