"""Why the listener closes a connection, as the log says it."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """The reason for which the listener, not the client, closes a connection."""

    EVICTED = "evicted"
    """Another connection was accepted, and the limit on connections is reached."""
    SILENT = "silent"
    """It has sent no request, and too many such connections use up the client's descriptors."""
    REPLACED = "replaced"
    """It was idle longest, and another connection is kept open in its place."""
    KEEP_ALIVE_POLICY = "keep_alive_policy"
    """The keep-alive policy does not keep it open after its response."""
    IDLE_TIMEOUT = "idle_timeout"
    UNREAD_RESPONSE = "unread_response"
    """The client does not read its response, or does not close its side after the last one."""
    CLIENT_CLOSED = "client_closed"
    """The client has closed it while reading was paused."""
    SHUTDOWN = "shutdown"
