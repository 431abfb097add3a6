"""When the proxy gives a request up: the instants at the end of a request, and the reserves between them.

Instants are ns of the monotonic clock. In their order:

1. Attempts end, `RESPONSE_RESERVE_NS` before the client gives up. The balancer plans with this instant as the
   deadline, and answers at the latest then.
2. Backstop, `BACKSTOP_RESERVE_NS` before the client gives up: the proxy responds itself if the balancer has
   not.
3. The client gives up: its timeout after the last byte of its request.

During a graceful shutdown each client counts as giving up, at the latest, when its response could not be sent
in time any more. These instants are s after SIGTERM:

4. Flush, `FLUSH_RESERVE_S` before the end of the shutdown (listener/shutdown.py): instant 3 of every request
   whose client would wait longer.
5. End of the shutdown, `EXIT_RESERVE_S` before SIGKILL (sidecar/shutdown.py): connections close, sent or not.
6. SIGKILL, at the earliest moment that the platform allows.

Pure: no I/O and no clock.
"""

from __future__ import annotations

RESPONSE_RESERVE_NS = 10_000_000  # to send the response: after its timeout a client does not read it
BACKSTOP_RESERVE_NS = 4_000_000  # shorter, so that the balancer's own decision is sent where it makes one


def attempts_end_at(client_gives_up_at: int) -> int:
    """Return when a request's attempts end (monotonic ns)."""
    return client_gives_up_at - RESPONSE_RESERVE_NS


def backstop_at(client_gives_up_at: int) -> int:
    """Return when the proxy responds without the balancer (monotonic ns)."""
    return client_gives_up_at - BACKSTOP_RESERVE_NS
