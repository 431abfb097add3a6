"""The simulator's protocol: the codec, and the host process over a pipe."""

from __future__ import annotations

import json
import struct
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

from anisespool.balancer import interface as api
from anisespool.balancer.simulator import protocol
from anisespool.balancer.simulator.host import Host
from tests.support import MS, SECOND, listed, raw_settings

ROOT = Path(__file__).parent.parent.parent


def boot_record(instance: int, raw: object, seed: int = 7) -> bytes:
    params = json.dumps(raw).encode()
    return struct.pack("<HIQI", 1000, instance, seed, len(params)) + params


def numbered_list_record(number: int, listings: list[api.EndpointListing]) -> bytes:
    entries = b"".join(struct.pack("<IfHHHBQ", *row) for row in listings)
    return struct.pack("<HII", 1100, number, len(listings)) + entries


def list_update_record(instance: int, kind: int, list_number: int) -> bytes:
    return struct.pack("<HIQBI", 1010, instance, 3, kind, list_number)


def request_record(instance: int, request: int, cls: int = 0, left_ns: int = SECOND) -> bytes:
    """Encode a write with a valid hint of 30 ms, key 99 and tenant 1."""
    return struct.pack("<HIQQQQHHB", 1020, instance, request, 30 * MS, 99, left_ns, 1, 1 | 4, cls)


def batch(records: list[bytes], now_ns: int = 5 * SECOND) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(records), len(body) + 8, now_ns) + body


def test_decodes_every_event() -> None:
    records = [
        numbered_list_record(2, [listed(11, weight=1.5, cell=3, machine_type=1, zone=2, started_ns=77)]),
        list_update_record(4, 1, 2),
        request_record(4, 1 << 51),
        struct.pack("<HIQIQH", 1030, 4, 8, 11, 60, 1),
        struct.pack("<HIQIHQBBB2f", 1040, 4, 8, 11, 1, 60, 3, 0, 2, 0.5, 8.0),
        struct.pack("<HIQ", 1050, 4, 8),
        struct.pack("<HII", 1060, 4, 21),
        struct.pack("<HIBIQBf", 1070, 4, 1, 11, 60, 1, 2.0),
        struct.pack("<HIHH", 1080, 4, 2, 3) + b"abc",
        struct.pack("<HI", 1090, 4),
        boot_record(4, {}, seed=9),
    ]
    assert protocol.decode_batch(len(records), b"".join(records)) == [
        (-1, protocol.NumberedEndpointList(2, (api.EndpointListing(11, 1.5, 3, 1, 2, 1, 77),))),
        (4, protocol.EndpointListReference(3, 1, 2)),
        (4, api.RequestArrived(1 << 51, 0, SECOND, 30 * MS, 99, 1, False, True)),
        (4, api.FirstByteReceived(8, 11, 60, 1)),
        (4, api.AttemptOutcome(8, 11, 1, 60, api.AttemptStatus.TIMEOUT, False, (0.5, 8.0))),
        (4, api.ClientDisconnected(8)),
        (4, api.TimerExpired(21)),
        (4, api.HealthCheckResult(11, api.AttemptStatus.OK, 60, (2.0,))),
        (4, api.GossipReceived(2)),  # a payload in an unknown format has no content
        (4, protocol.Stop()),
        (4, protocol.Boot(9, b"{}")),
    ]


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (api.Send(8, 11, 30), struct.pack("<HIQIQ", 1090, 4, 8, 11, 30)),
        (api.Reject(8, 5), struct.pack("<HIQQ", 1080, 4, 8, 5)),
        (api.Fail(8), struct.pack("<HIQ", 1000, 4, 8)),
        (api.Cancel(8, 2), struct.pack("<HIQH", 1030, 4, 8, 2)),
        (api.SetTimer(30, 6), struct.pack("<HIQI", 1010, 4, 30, 6)),
        (api.Log("hé"), struct.pack("<HIH", 1050, 4, 3) + "hé".encode()),
        (api.Fault("no"), struct.pack("<HIH", 1020, 4, 2) + b"no"),
        (api.FetchEndpointList(), struct.pack("<HI", 1040, 4)),
        (api.WatchEndpointList(False), struct.pack("<HIB", 1070, 4, 0)),
        (api.CloseIdleConnections(11), struct.pack("<HII", 1060, 4, 11)),
        (api.SendGossip(-1, 1.0), struct.pack("<HIIHB", 1100, 4, 0xFFFFFFFF, 1, 255)),
        (
            api.SendGossip(7, 0.0, (api.EndpointObservation(11, 1.0, 3.0, 100 * MS),)),
            struct.pack("<HIIHBIBBB", 1100, 4, 7, 8, 0, 11, 64, 32, 2),
        ),
        (api.SendHealthCheck(11), struct.pack("<HII", 1110, 4, 11)),
    ],
)
def test_encodes_every_action(action: api.Action, expected: bytes) -> None:
    assert protocol.encode_action(4, action) == expected
    assert protocol.encode_reply([(4, action)]) == struct.pack("<II", 1, len(expected)) + expected


@pytest.mark.parametrize(
    ("count", "body", "text"),
    [
        (1, struct.pack("<H", 9), "unknown event code 9"),
        (1, request_record(4, 8)[:-1], "truncated"),
        (1, request_record(4, 8) + b"z", "left after"),
        (1, struct.pack("<HIQIHQBBB", 1040, 4, 8, 11, 1, 60, 3, 0, 2), "truncated"),
        (1, struct.pack("<HIQIHQBBB", 1040, 4, 8, 11, 1, 60, 99, 0, 0), "unknown status"),
        (1, list_update_record(4, 9, 0), "unknown endpoint list kind"),
        (2, request_record(4, 8), "truncated"),
    ],
)
def test_malformed_frames_raise_an_error_that_names_the_fault(count: int, body: bytes, text: str) -> None:
    with pytest.raises(protocol.ProtocolError, match=text):
        protocol.decode_batch(count, body)


def test_a_list_number_refers_to_the_latest_list_sent_under_it() -> None:
    host = Host()
    first = [
        boot_record(1, raw_settings()),
        numbered_list_record(0, [listed(11)]),
        list_update_record(1, 3, 0),
        request_record(1, 1),
    ]
    second = [numbered_list_record(0, [listed(12)]), list_update_record(1, 2, 0), request_record(1, 2)]
    records = b"".join(first + second)
    reply = host.handle_batch(SECOND, len(first + second), records)
    chosen = [a.endpoint for _, a in reply if isinstance(a, api.Send)]
    assert chosen == [11, 12]


def test_a_stop_and_boot_in_one_batch_drop_all_state() -> None:
    host = Host()
    start = [
        boot_record(1, raw_settings()),
        numbered_list_record(0, [listed(11)]),
        list_update_record(1, 3, 0),
        request_record(1, 1),
    ]
    host.handle_batch(SECOND, len(start), b"".join(start))
    again = [
        struct.pack("<HI", 1090, 1),
        boot_record(1, raw_settings()),
        numbered_list_record(0, []),
        list_update_record(1, 3, 0),
        struct.pack("<HIQ", 1050, 1, 1),
    ]
    assert host.handle_batch(2 * SECOND, len(again), b"".join(again)) == []


def settings_without_warmup() -> dict[str, Any]:
    raw = raw_settings()
    del raw["guarantees"]["cold-ns"]
    return raw


def settings_with_negative_objective() -> dict[str, Any]:
    raw = raw_settings()
    raw["request-classes"][1]["target-ns"] = -5
    return raw


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        (settings_without_warmup(), "guarantees.cold-ns: missing"),
        (raw_settings(zone="first"), "zone: wrong type"),
        ([], "object"),
        (raw_settings(guarantees__start_capacity=float("inf")), "guarantees.start-capacity: not finite"),
        (raw_settings(allowed__attempts_cap=0), "allowed.attempts-cap: 0 is not above 0"),
        (settings_with_negative_objective(), "request-classes[1].target-ns: -5 is not above 0"),
    ],
    ids=["missing", "wrong type", "not an object", "infinite", "not above 0", "negative"],
)
def test_invalid_settings_return_a_fault_action(raw: object, text: str) -> None:
    [(instance, action)] = Host().handle_batch(SECOND, 1, boot_record(3, raw))
    assert instance == 3
    assert isinstance(action, api.Fault)
    assert text in action.text


def test_an_exception_returns_a_fault_action_for_that_instance_only() -> None:
    host = Host()
    start = [
        boot_record(1, raw_settings()),
        boot_record(2, raw_settings()),
        numbered_list_record(0, [listed(11)]),
        list_update_record(1, 3, 0),
        list_update_record(2, 3, 0),
        request_record(1, 1, cls=200),
        request_record(2, 2),
    ]
    reply = host.handle_batch(SECOND, len(start), b"".join(start))
    [(instance, fault)] = [(i, a) for i, a in reply if isinstance(a, api.Fault)]
    assert instance == 1
    assert "request class 200 is not in the settings" in fault.text
    assert [i for i, a in reply if isinstance(a, api.Send)] == [2]


def test_unknown_settings_keys_are_ignored() -> None:
    raw = raw_settings(surprise={"deep": [1]})
    raw["allowed"]["surprise"] = 3
    assert api.Settings.from_dict(raw) == api.Settings.from_dict(raw_settings())


def run_simulator_command(data: bytes) -> subprocess.CompletedProcess[bytes]:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    return subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], input=data, capture_output=True, cwd=ROOT, timeout=60
    )


def test_the_command_in_the_deploy_file_replies_over_a_pipe() -> None:
    start = batch(
        [boot_record(1, raw_settings()), numbered_list_record(0, [listed(11)]), list_update_record(1, 3, 0)]
    )
    done = run_simulator_command(batch([]) + start + batch([request_record(1, 5)]))
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith(struct.pack("<II", 0, 0) * 2)
    assert struct.pack("<HIQI", 1090, 1, 5, 11) in done.stdout
    assert done.stderr == b""


@pytest.mark.parametrize(
    "data",
    [b"\x01", batch([request_record(1, 1)])[:-3], batch([b"\x00\x00"]), struct.pack("<IIQ", 0, 3, 0)],
    ids=["truncated header", "truncated record", "unknown code", "too short for the clock"],
)
def test_a_malformed_frame_ends_the_process_with_one_line_on_standard_error(data: bytes) -> None:
    done = run_simulator_command(batch([]) + data)
    assert done.returncode != 0
    assert done.stdout == struct.pack("<II", 0, 0)
    assert len(done.stderr.splitlines()) == 1


def test_a_gossip_message_is_decoded_within_its_resolution() -> None:
    observations = tuple(
        api.EndpointObservation(2**32 - 1 - n, 0.5 + n, n * n, n * 60 * MS) for n in range(50)
    )
    record = protocol.encode_action(4, api.SendGossip(7, 0.4, observations))
    data = record[struct.calcsize("<HIIH") :]
    assert len(data) <= 256
    body = struct.pack("<HIHH", 1080, 4, 9, len(data)) + data
    [(instance, message)] = protocol.decode_batch(1, body)
    assert isinstance(message, api.GossipReceived)
    assert (instance, message.sender, len(message.observations)) == (4, 9, api.MAX_OBSERVED_ENDPOINTS)
    assert message.queueing_ratio == pytest.approx(0.4, abs=0.003)
    for sent, received in zip(observations, message.observations, strict=False):
        assert received.endpoint == sent.endpoint
        assert received.slowdown == pytest.approx(sent.slowdown, rel=0.03)
        assert received.queue + 1 == pytest.approx(sent.queue + 1, rel=0.03)
        assert received.age_ns == pytest.approx(sent.age_ns, abs=25 * MS)
