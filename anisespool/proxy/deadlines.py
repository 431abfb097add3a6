"""The points in time at the end of a request, and the reserves between them.

A request reaches these points in order, in ns on the monotonic clock:

1. Attempts end, `RESPONSE_RESERVE_NS` before the client gives up. The balancer uses this time as the deadline
   and responds no later.
2. Backstop, `BACKSTOP_RESERVE_NS` before the client gives up. The proxy responds itself if the balancer has
   not.
3. The client gives up, because its timeout has passed since the last byte of its request.

A graceful shutdown has these points, in seconds after SIGTERM:

4. Start of the flush, `FLUSH_RESERVE_S` before the end of the shutdown (listener/shutdown.py). It replaces
   point 3 for each request whose client would wait longer. A later response could not be sent in time.
5. End of the shutdown, `EXIT_RESERVE_S` before SIGKILL (sidecar/shutdown.py). All connections close, even if
   their responses have not been sent.
6. SIGKILL, at the earliest time that the platform allows.

The functions are pure: they use no I/O and no clock.
"""

from __future__ import annotations

RESPONSE_RESERVE_NS = 10_000_000  # time to send the response, which a client does not read after its timeout
BACKSTOP_RESERVE_NS = 4_000_000  # shorter, so that the balancer's own decision is sent if there is one


def attempts_end_at(client_gives_up_at: int) -> int:
    """Return the time when a request's attempts end (monotonic ns)."""
    return client_gives_up_at - RESPONSE_RESERVE_NS


def backstop_at(client_gives_up_at: int) -> int:
    """Return the time when the proxy responds without the balancer (monotonic ns)."""
    return client_gives_up_at - BACKSTOP_RESERVE_NS
