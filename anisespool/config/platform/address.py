"""Addresses of TCP and UDP sockets."""

from __future__ import annotations

from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """Host and port of a TCP or UDP socket."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: object) -> Address:
        """Parse `host:port`.

        Raises:
            ValueError: `text` does not have this form.
        """
        host, _, port = (text if isinstance(text, str) else "").rpartition(":")
        if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
            raise ValueError(f"{text!r} is no host:port")
        return cls(host, int(port))
