"""Which endpoints are draining: by the endpoint list, by the operator, or by a list of a higher revision.

Endpoint list and operator are independent: ending the drain of one does not end the other's. Pure: no I/O and
no clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from anisespool.balancer.interface import EndpointState

# The platform's protocol counts a change as delivered 6 s later at the latest, so a discovery service that is
# behind has caught up by then. One that still disagrees numbers its revisions in another way, or has ended
# the drain: its list holds.
CATCH_UP_NS = 6_000_000_000
MAX_WITHDRAWN_ENDPOINTS = 4096
NO_REVISION = -1  # below the revision of any list


def effective_state(listed_state: int, drained_by_operator: bool) -> int:
    """Return the state to report to the balancer for an endpoint that is in `listed_state` in the list."""
    if drained_by_operator and listed_state == EndpointState.READY:
        return EndpointState.DRAINING
    return listed_state


def leaves_no_ready_endpoint(ready: Collection[str], drained: Iterable[str]) -> bool:
    """Return whether draining `drained` would take the last of the `ready` endpoints out of use."""
    return bool(ready) and not set(ready) - set(drained)


@dataclass(frozen=True, slots=True)
class _Withdrawal:
    """An endpoint that was draining or gone in a list.

    Attributes:
        started_ns: Start time of the endpoint's process in that list, ns.
        revision: Highest revision of such a list.
        contradicted_at_ns: When an older list first had the endpoint as ready again, monotonic; 0: never.
    """

    started_ns: int
    revision: int
    contradicted_at_ns: int = 0


class DrainTracker:
    """Keeps endpoints withdrawn when an older endpoint list has them as ready again.

    A new configuration may name a discovery service that is behind the previous one. What the previous one
    listed as draining or gone stays so until a list of the same or a higher revision, a new start of the
    endpoint, or `catch_up_ns` of contradiction. At most `max_endpoints` of them are stored; the one
    that was updated longest ago is dropped first.

    Attributes:
        catch_up_ns: How long a contradicting older list has no effect, ns.
    """

    def __init__(self, catch_up_ns: int = CATCH_UP_NS, max_endpoints: int = MAX_WITHDRAWN_ENDPOINTS) -> None:
        self.catch_up_ns = catch_up_ns
        self._max_endpoints = max_endpoints
        self._withdrawals: dict[str, _Withdrawal] = {}  # by endpoint id, least recently updated first

    def resolve(
        self, now_ns: int, endpoint_id: str, started_ns: int, listed_state: int, revision: int
    ) -> int:
        """Return the state of the endpoint in effect, given its entry in a list.

        Args:
            now_ns: Monotonic time, ns.
            endpoint_id: The endpoint's id in the list.
            started_ns: Start time of its process by the list, ns.
            listed_state: Its state in the list.
            revision: The list's revision.

        Returns:
            `listed_state`, or DRAINING where the list is older than the one that withdrew the endpoint.
        """
        withdrawal = self._withdrawals.pop(endpoint_id, _Withdrawal(started_ns, NO_REVISION))
        if listed_state != EndpointState.READY:
            if withdrawal.started_ns == started_ns:
                revision = max(withdrawal.revision, revision)
            self._store(endpoint_id, _Withdrawal(started_ns, revision))
            return listed_state
        if not self._holds_against(withdrawal, now_ns, started_ns, revision):
            return listed_state
        contradicted_at_ns = withdrawal.contradicted_at_ns or now_ns
        self._store(endpoint_id, _Withdrawal(started_ns, withdrawal.revision, contradicted_at_ns))
        return EndpointState.DRAINING

    def _holds_against(self, withdrawal: _Withdrawal, now_ns: int, started_ns: int, revision: int) -> bool:
        """Return whether the withdrawal holds against a list of `revision` with the endpoint as ready."""
        if withdrawal.started_ns != started_ns or revision >= withdrawal.revision:
            return False
        first_contradiction = withdrawal.contradicted_at_ns
        return not first_contradiction or now_ns < first_contradiction + self.catch_up_ns

    def _store(self, endpoint_id: str, withdrawal: _Withdrawal) -> None:
        self._withdrawals[endpoint_id] = withdrawal
        if len(self._withdrawals) > self._max_endpoints:
            del self._withdrawals[next(iter(self._withdrawals))]
