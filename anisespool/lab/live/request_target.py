"""The path of a client's request. It carries the values that the client drew to the endpoint.

`/CLASS/REQUEST.ATTEMPT.WORK_NS.SIDECAR.STARTED_US.DEADLINE_US`, all numbers decimal.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestTarget:
    """One attempt of a client's request."""

    class_name: str
    client_request: int
    attempt: int  # the client's attempt, from 1
    work_ns: int
    sidecar: int
    started_us: int  # when the client started this attempt, on the monotonic clock
    deadline_us: int  # when the client gives up this attempt

    def encode(self) -> bytes:
        """Return the path."""
        numbers = (
            self.client_request,
            self.attempt,
            self.work_ns,
            self.sidecar,
            self.started_us,
            self.deadline_us,
        )
        return b"/%s/%s" % (self.class_name.encode(), b".".join(b"%d" % number for number in numbers))

    @classmethod
    def parse(cls, path: bytes) -> RequestTarget:
        """Parse a path.

        Raises:
            ValueError: `path` has another form.
        """
        class_name, _, text = path.decode("latin-1")[1:].partition("/")
        client_request, attempt, work_ns, sidecar, started_us, deadline_us = map(int, text.split("."))
        return cls(class_name, client_request, attempt, work_ns, sidecar, started_us, deadline_us)
