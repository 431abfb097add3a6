"""The UDP socket between members: identifies senders by address, limits the send rate, counts datagrams."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Callable, Sequence
from enum import Enum

from anisespool.config.platform import Address
from anisespool.membership import codec
from anisespool.membership.codec import InvalidDatagramError, InvalidReason
from anisespool.membership.messages import Message
from anisespool.membership.rate_limiter import RateLimiter

# Maximum number of datagrams read in a row, after which requests are handled.
READ_BATCH_DATAGRAMS = 32
# Larger than the longest valid datagram, so that a longer one is recognized.
READ_BYTES = 512
RECEIVE_BUFFER_BYTES = 2**18


class TransportCounter(Enum):
    """Counters of datagrams and bytes; the values are the names on the control socket."""

    SENT = "sent"
    SENT_BYTES = "sent_bytes"
    RATE_LIMITED = "over rate"
    SEND_FAILED = "unsent"
    RECEIVED = "received"
    RECEIVED_BYTES = "received_bytes"
    UNKNOWN_SENDER = "stranger"


class UdpTransport:
    """Sends and receives messages.

    Attributes:
        counts: Datagrams and bytes by counter; invalid datagrams by the reason for their rejection.
    """

    def __init__(
        self,
        listen: Address,
        peers: Sequence[Address],
        max_datagrams_per_s: float,
        on_message: Callable[[int, Message], None],
    ) -> None:
        """Bind the socket and start reading.

        Args:
            listen: Address to bind.
            peers: Addresses of all members, indexed by number.
            max_datagrams_per_s: Messages beyond this rate are dropped.
            on_message: Called with the sender's number and its message.

        Raises:
            OSError: The address can't be bound; no socket is left open.
        """
        self.counts: Counter[TransportCounter | InvalidReason] = Counter()
        self._peers = list(peers)
        self._member_by_address = {address: number for number, address in enumerate(peers)}
        self._on_message = on_message
        self._limiter = RateLimiter(max_datagrams_per_s, time.monotonic())
        self._socket = _bound_socket(listen)
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def send(self, recipient: int, message: Message) -> None:
        """Send a message, or drop and count it; the protocol tolerates lost datagrams."""
        if not self._limiter.try_consume(time.monotonic()):
            self.counts[TransportCounter.RATE_LIMITED] += 1
            return
        data = codec.encode(message)
        try:
            self._socket.sendto(data, self._peers[recipient])
        except OSError:
            # The buffer is full, or no process uses the address.
            self.counts[TransportCounter.SEND_FAILED] += 1
            return
        self.counts[TransportCounter.SENT] += 1
        self.counts[TransportCounter.SENT_BYTES] += len(data)

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
                # The error concerns one datagram; the others can still be read.
                continue
            self._receive(data, source)

    def _receive(self, data: bytes, source: Address) -> None:
        """Handle one datagram; `source` is the socket module's tuple, which compares equal to an Address."""
        sender = self._member_by_address.get(source)
        if sender is None:
            self.counts[TransportCounter.UNKNOWN_SENDER] += 1
            return
        try:
            message = codec.decode(data)
        except InvalidDatagramError as error:
            self.counts[error.reason] += 1
            return
        self.counts[TransportCounter.RECEIVED] += 1
        self.counts[TransportCounter.RECEIVED_BYTES] += len(data)
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
