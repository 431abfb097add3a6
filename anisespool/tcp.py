"""Options of a TCP socket that asyncio does not offer (socket(7), tcp(7)): its close and acknowledgements.

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

# struct linger: whether it is on, and its time in seconds.
_LINGER_ZERO_SECONDS = struct.pack("ii", 1, 0)
_LINGER_OFF = struct.pack("ii", 0, 0)


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
