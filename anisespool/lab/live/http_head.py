"""Reads single headers of an HTTP/1.1 message, for the lab's own clients and endpoints."""

from __future__ import annotations


def header_value(head: bytes, name: bytes) -> bytes:
    """Return a header's value in lower case, or an empty value if it is missing.

    Args:
        head: the message head, from its first line.
        name: the header's name in lower case.
    """
    _, _, after_name = head.lower().partition(b"\r\n%s: " % name)
    value, _, _ = after_name.partition(b"\r\n")
    return value
