"""Every request of the control socket gets the recorded response from a real sidecar.

The transcript is data/control/transcript.json. The fields in support.VOLATILE_FIELDS are compared only by
type. The length of a body is not compared, as it depends on them.
"""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

from tests.golden.support import DATA, TIMEOUT_S, normalize, running


def encode(request: dict[str, Any]) -> bytes:
    """Return the bytes of a request of the transcript."""
    if "raw" in request:
        return str(request["raw"]).encode("latin-1")
    body = b"" if request["body"] is None else json.dumps(request["body"]).encode()
    head = f"{request['method']} {request['path']} HTTP/1.1\r\nHost: i\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def exchange(path: Path, request: dict[str, Any]) -> dict[str, Any]:
    """Send one request on a new connection, and return the head and the JSON of the response."""
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(TIMEOUT_S)
        connection.connect(str(path))
        connection.sendall(encode(request))
        with connection.makefile("rb") as stream:
            head, size = [], 0
            while (line := stream.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().rstrip("\r\n").partition(": ")
                if name == "Content-Length":
                    size, value = int(value), "<size>"
                head.append([name, value])
            return {"head": head, "body": normalize(json.loads(stream.read(size)))}


def test_every_response_is_the_recorded_one(tmp_path: Path) -> None:
    transcript = json.loads((DATA / "control" / "transcript.json").read_text())
    path = tmp_path / "sockets" / "n0.sock"
    with running(["sidecar"], tmp_path, path) as process:
        for number, entry in enumerate(transcript):
            found = exchange(path, entry["request"])
            assert found == entry["response"], f"request {number}: {entry['request']}"
        assert process.wait(TIMEOUT_S) == 0
