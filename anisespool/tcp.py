"""Options of a TCP socket that asyncio does not offer (socket(7), tcp(7)): close, acknowledgements, arrivals.

By default the kernel takes what was written and delivers it after `close`, even after the process has ended.
With SO_LINGER and a time of 0, `close` discards what is undelivered and resets the connection. The kernel
does the same when the process ends, whatever ends it.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from array import array
from typing import Protocol

# struct linger: whether it is on, and its time in seconds.
_LINGER_ZERO_SECONDS = struct.pack("ii", 1, 0)
_LINGER_OFF = struct.pack("ii", 0, 0)
# struct tcp_info (linux/tcp.h): tcpi_state is its first byte, tcpi_last_data_recv a 32-bit number of ms.
_LAST_DATA_RECEIVED = struct.Struct("B51xI")
_NS_PER_MS = 1_000_000


class OptionReader(Protocol):
    """A socket, or asyncio's wrapper of one."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Return the value of an option that has at most `size` bytes."""


def discard_undelivered_on_close(sock: socket.socket) -> None:
    """Make the end of this socket reset its connection. Nothing undelivered is sent afterwards."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO_SECONDS)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's kernel has not acknowledged."""
    result = array("i", [0])
    fcntl.ioctl(sock, termios.TIOCOUTQ, result)  # On a socket, TIOCOUTQ is SIOCOUTQ (tcp(7)).
    return result[0]


def close_without_delivering(sock: socket.socket) -> None:
    """Close a socket of `discard_undelivered_on_close` now, so that nothing undelivered is ever sent.

    If everything was delivered, the connection closes in order: unlike a reset, this is repeated until the
    peer has received it. A socket that is closed already stays closed.
    """
    if sock.fileno() < 0:
        return
    if not unacknowledged_bytes(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF)
    sock.close()


def acknowledge_now(sock: socket.socket) -> None:
    """Send the acknowledgement of what was received, which the kernel delays by 40 ms or more otherwise.

    Until then a peer without TCP_NODELAY holds back its next small write (Nagle's algorithm, RFC 9293 3.7.4).
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)


def ns_since_last_input(sock: OptionReader) -> int | None:
    """Return how long ago the kernel received the last data on a socket, in ns; None if it can't tell.

    The resolution is that of the kernel's timer, 1 to 10 ms.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
    except OSError:
        return None
    if len(info) < _LAST_DATA_RECEIVED.size:
        return None
    state, milliseconds = _LAST_DATA_RECEIVED.unpack(info)
    return milliseconds * _NS_PER_MS if state else None
