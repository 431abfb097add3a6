"""A strict receiver of syslog messages, written from the RFCs alone.

`parser` parses one message by the whole ABNF of RFC 5424, section 6; `framing` splits a stream into messages
(RFC 6587); `receiver` receives by UDP (RFC 5426), TCP (RFC 6587), TLS (RFC 5425) or from a Unix socket, and
can stall, read a few bytes at a time and reset connections. `python -m anisespool.fakes.syslog` runs a
receiver as a process.
"""

from __future__ import annotations

from anisespool.fakes.syslog.framing import FrameDecoder
from anisespool.fakes.syslog.parser import Message, SyslogError, parse
from anisespool.fakes.syslog.receiver import Receiver, ReceiverOptions

__all__ = ["FrameDecoder", "Message", "Receiver", "ReceiverOptions", "SyslogError", "parse"]
