"""A client of an instance's control socket, written from docs/fleet.md; it opens a connection per request."""

from __future__ import annotations

import asyncio
import hashlib
import json
from pathlib import Path
from typing import Any

from anisespool.fakes import http1

READ_LIMIT_BYTES = 2**22
DIGEST_CHARACTERS = 32


async def send_raw(path: Path, data: bytes) -> http1.Response:
    """Send bytes unchanged, and return the response."""
    reader, writer = await asyncio.open_unix_connection(str(path), limit=READ_LIMIT_BYTES)
    try:
        writer.write(data)
        return await http1.read_response(reader)
    finally:
        writer.close()


async def call(path: Path, target: str, body: dict[str, Any] | None = None) -> tuple[int, dict[str, Any]]:
    """Send a POST with a body or a GET without one, and return the status and the decoded response."""
    data = json.dumps(body).encode() if body is not None else b""
    method = "GET" if body is None else "POST"
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: i\r\nConnection: close\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    response = await send_raw(path, head.encode() + data)
    decoded: dict[str, Any] = json.loads(response.body)
    return response.status, decoded


def content_digest(content: dict[str, Any]) -> str:
    """Return the digest of a configuration, a hash of its canonical JSON (docs/fleet.md)."""
    canonical = json.dumps(content, sort_keys=True, separators=(",", ":")).encode()
    return hashlib.sha256(canonical).hexdigest()[:DIGEST_CHARACTERS]


def apply_request(generation: int, base: str, content: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Return the body of a request to `/v1/apply`.

    Args:
        generation: Generation of the change.
        base: Digest of the configuration to which the change applies.
        content: Sections of the change; each has to be complete, as the digest covers them.
        fields: Further fields of the body.
    """
    request = {
        "generation": generation,
        "base": base,
        "digest": content_digest(content),
        "content": content,
    }
    return request | fields
