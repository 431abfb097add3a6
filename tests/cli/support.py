"""Sample responses of control sockets, and helpers that render tables as text."""

from __future__ import annotations

import io
from typing import Any

from rich.console import Console, RenderableType

DESCRIPTION: dict[str, Any] = {
    "version": 1,
    "name": "n0",
    "pid": 7,
    "phase": "serving",
    "build": "0.2.0",
    "uptime_s": 1.5,
    "generation": 4,
    "digest": "ab",
    "listen": "127.0.0.1:1",
    "open": 2,
    "strain": 0.25,
    "clients": {"open": 3, "working": 1},
    "classes": {"look": {"served": 5, "refused": 1, "failed": 0, "gone": 2}},
    "endpoints": [
        {
            "id": "s-1",
            "address": "127.0.0.1:3",
            "listed": "ready",
            "state": "draining",
            "drained": "here+fleet",
            "odds": 0.1234,
            "slowdown": 12.345,
            "queue": 2.5,
            "open": 1,
            "cold_s": 3.25,
            "idle": 9,
            "connecting": 0,
        }
    ],
    "endpoints_total": 12,
}
PEERS: dict[str, Any] = {
    "version": 1,
    "number": 2,
    "alive": [0, 1, 2],
    "around": [1],
    "suspect": [3],
    "gone": [4],
    "left": [5],
    "unheard": [6],
    "low": 3,
    "high": 5,
    "age_ms": 10,
    "health": 0,
    "in_vain": [5, 8],
    "cut_off": True,
    "datagrams": {"sent": 3},
    "stats": {"accusations": 1, "refutations": 4, "pauses": 2},
}


def printed(*parts: RenderableType) -> list[str]:
    """Return the lines that a terminal 200 columns wide and without colours shows."""
    file = io.StringIO()
    Console(file=file, width=200).print(*parts)
    return file.getvalue().splitlines()


def cells(line: str) -> list[str]:
    """Return the cells of one line of a framed table."""
    return [cell.strip() for cell in line.strip("│").split("│")]
