"""One UDP socket between members: a sender is known by its address, and sending is limited in rate."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Callable, Sequence

from anisespool.config.platform import Address
from anisespool.membership import codec
from anisespool.membership.codec import InvalidDatagramError
from anisespool.membership.messages import Message

READ_BATCH_DATAGRAMS = 32  # read before requests get their turn
READ_BYTES = 512  # more than a datagram of ours, so that a longer one is recognized
RECEIVE_BUFFER_BYTES = 2**18


class RateLimiter:
    """A token bucket: `rate` events a second, in bursts of as many."""

    def __init__(self, rate: float, now_s: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._refilled_at_s = now_s

    def try_take(self, now_s: float) -> bool:
        """Take a token if there is one."""
        self._tokens = min(self._rate, self._tokens + (now_s - self._refilled_at_s) * self._rate)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class UdpTransport:
    """Sends and receives messages.

    Attributes:
        counts: Datagrams and bytes sent and received, and what was dropped by reason.
    """

    def __init__(
        self,
        listen: Address,
        peers: Sequence[Address],
        max_datagrams_per_s: float,
        on_message: Callable[[int, Message], None],
    ) -> None:
        """Bind the socket and begin to read.

        Args:
            listen: Address to bind.
            peers: Addresses of all members, by number.
            max_datagrams_per_s: What would exceed it is dropped.
            on_message: Called with the sender's number and its message.

        Raises:
            OSError: The address can't be bound; nothing stays open.
        """
        self.counts: Counter[str] = Counter()
        self._peers = list(peers)
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._on_message = on_message
        self._limiter = RateLimiter(max_datagrams_per_s, time.monotonic())
        self._socket = _bound_socket(listen)
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def send(self, recipient: int, message: Message) -> None:
        """Send a message, or drop it: a datagram may always be lost."""
        if not self._limiter.try_take(time.monotonic()):
            self.counts["over rate"] += 1
            return
        data = codec.encode(message)
        try:
            self._socket.sendto(data, self._peers[recipient])
        except OSError:  # a full buffer, or nobody there
            self.counts["unsent"] += 1
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)

    def close(self) -> None:
        """Close the socket; a second call does nothing."""
        if self._socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()

    def _read(self) -> None:
        for _ in range(READ_BATCH_DATAGRAMS):
            try:
                data, source = self._socket.recvfrom(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue
            self._receive(data, source)

    def _receive(self, data: bytes, source: Address) -> None:
        sender = self._numbers.get(source)
        if sender is None:
            self.counts["stranger"] += 1
            return
        try:
            message = codec.decode(data)
        except InvalidDatagramError as error:
            self.counts[error.reason.value] += 1
            return
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        self._on_message(sender, message)


def _bound_socket(listen: Address) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        bound.setblocking(False)
        bound.bind(listen)
    except OSError:
        bound.close()
        raise
    return bound
