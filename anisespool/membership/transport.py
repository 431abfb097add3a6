"""The UDP socket between members: identifies senders by address, limits what is sent, counts datagrams."""

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

READ_BATCH_DATAGRAMS = 32  # read before requests get their turn
READ_BYTES = 512  # more than the longest valid datagram, so that a longer one is recognized
RECEIVE_BUFFER_BYTES = 2**18


class TransportCounter(Enum):
    """What became of datagrams; the values are the names on the control socket."""

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
        counts: Datagrams and bytes by what became of them; invalid datagrams by the reason.
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
            max_datagrams_per_s: Messages beyond this rate are dropped.
            on_message: Called with the sender's number and its message.

        Raises:
            OSError: The address can't be bound; nothing stays open.
        """
        self.counts: Counter[TransportCounter | InvalidReason] = Counter()
        self._peers = list(peers)
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._on_message = on_message
        self._limiter = RateLimiter(max_datagrams_per_s, time.monotonic())
        self._socket = _bound_socket(listen)
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def send(self, recipient: int, message: Message) -> None:
        """Send a message, or drop and count it: the protocol tolerates lost datagrams."""
        if not self._limiter.try_consume(time.monotonic()):
            self.counts[TransportCounter.RATE_LIMITED] += 1
            return
        data = codec.encode(message)
        try:
            self._socket.sendto(data, self._peers[recipient])
        except OSError:  # a full buffer, or no process at that address
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
            except OSError:  # of one datagram: the others are still to be read
                continue
            self._receive(data, source)

    def _receive(self, data: bytes, source: Address) -> None:
        """Handle one datagram; `source` is the socket module's pair, which equals an Address."""
        sender = self._numbers.get(source)
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
