"""Records of requests served by a complete sidecar."""

from __future__ import annotations

import asyncio
from pathlib import Path

from anisespool.config import operator
from anisespool.fakes import control_client
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.record_soak import PEN
from anisespool.fakes.syslog import Message
from tests.harness.client import request_bytes, send_request
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until
from tests.records.support import run_receiver

SAMPLING = {
    "served": 1.0,
    "gone": 1.0,
    "rejected": 1.0,
    "classes": {"look": {"served": 0.0, "gone": None, "rejected": None}},
}


async def apply_sampling(socket_path: Path) -> None:
    """Check that a change with an unknown class is invalid, then change the sampling rates at runtime."""
    base = (await control_client.call(socket_path, "/v1/state"))[1]["digest"]
    unknown_class = {"sampling": {"classes": {"nothing": {"served": 0.5}}}}
    invalid = control_client.apply_request(1, base, unknown_class)
    assert (await control_client.call(socket_path, "/v1/apply", invalid))[1]["error"]["code"] == "invalid"
    change = control_client.apply_request(1, base, {"sampling": SAMPLING})
    assert (await control_client.call(socket_path, "/v1/apply", change))[0] == 200


async def serve_requests(tmp_path: Path) -> list[Message]:
    """Return the messages received for requests before and after a change of the sampling rates.

    The endpoint answers the very first attempt with an error. The third request is not sampled.
    """
    first_responses = iter([b"HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n"])

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(next(first_responses, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))

    async with run_receiver("tcp", tmp_path) as (receiver, section), Endpoint(respond).serve() as endpoint:
        raw = {"records": section | {"flush_ms": 0}, "control": {"folder": str(tmp_path / "ctl")}}
        async with running_sidecar(
            tmp_path, endpoint, operator_config=operator.parse_operator_config(raw, "file")
        ) as sidecar:
            assert (await send_request(sidecar.address, request_bytes(trace_id="first"))).status == 200
            assert (
                await send_request(sidecar.address, request_bytes(request_class="none", trace_id="second"))
            ).status == 404
            await apply_sampling(tmp_path / "ctl" / "n0.sock")
            assert (await send_request(sidecar.address, request_bytes(trace_id="third"))).status == 200
            assert (
                await send_request(sidecar.address, request_bytes(request_class="once", trace_id="fourth"))
            ).status == 200
            sidecar.signals.stop.set()
            await sidecar.task
        await wait_until(lambda: receiver.messages[-1].msgid == "account")
    return list(receiver.messages)


async def test_each_request_is_recorded_and_sampling_changes_at_runtime(tmp_path: Path) -> None:
    messages = await serve_requests(tmp_path)
    records = [message for message in messages if message.msgid == "path"]
    by_trace_id = {record.first(f"req@{PEN}")["trace"]: record for record in records}
    assert set(by_trace_id) == {"first", "second", "fourth"}
    assert by_trace_id["second"].first(f"req@{PEN}")["outcome"] == "rejected"
    counts = messages[-1].first(f"account@{PEN}")
    assert (counts["answered"], counts["unchosen"], counts["sent"]) == ("4", "1", "3")

    first = by_trace_id["first"]
    request = first.first(f"req@{PEN}")
    attempts = [first.first(f"try{number}@{PEN}") for number in (1, 2)]
    assert (request["outcome"], request["status"], request["tries"]) == ("served", "200", "2")
    assert (request["class"], request["member"], request["node"]) == ("look", "acme", "n0")
    assert [(attempt["ep"], attempt["status"]) for attempt in attempts] == [("s-0", "error"), ("s-0", "ok")]
    first_end_ms = float(attempts[0]["at"]) + float(attempts[0]["ms"])
    assert first_end_ms <= float(attempts[1]["at"]) <= float(request["ms"])
