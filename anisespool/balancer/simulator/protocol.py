"""Codec of the binary wire: little-endian records, unpadded; bytes <-> the interface's types."""

import struct
from collections.abc import Callable
from enum import IntEnum
from math import log2
from typing import NamedTuple, Union

from anisespool.balancer import interface as api

BATCH_HEADER = struct.Struct("<IIQ")
CLOCK_BYTES = 8  # the clock follows the length field and is counted by it
REPLY_HEADER = struct.Struct("<II")

_CODE = struct.Struct("<H")
_INSTANCE = struct.Struct("<I")
_BOOT = struct.Struct("<IQI")
_SHEET = struct.Struct("<II")
_LISTING = struct.Struct("<IfHHHBQ")
_ENDPOINT_LIST = struct.Struct("<IQBI")
_REQUEST = struct.Struct("<IQQQQHHB")
_FIRST_BYTE = struct.Struct("<IQIQH")
_OUTCOME = struct.Struct("<IQIHQBBB")
_CLIENT_DISCONNECTED = struct.Struct("<IQ")
_TIMER_EXPIRED = struct.Struct("<II")
_HEALTH_CHECKED = struct.Struct("<IBIQB")
_GOSSIP_RECEIVED = struct.Struct("<IHH")

_OBSERVATION = struct.Struct("<IBBB")
_DOUBLING_LEVEL = 16  # a gossiped figure of so many more is twice as much
_AGE_NS = 50_000_000  # unit of a gossiped age

_ALL_INSTANCES = 0xFFFFFFFF
_MAX_TEXT_BYTES = 1000


class RequestFlag(IntEnum):
    """Bits of a request's flags."""

    HINT_VALID = 1
    IS_RETRY = 2
    IS_WRITE = 4


class EventCode(IntEnum):
    """The first field of an event's record."""

    BOOT = 1000
    ENDPOINT_LIST = 1010
    REQUEST = 1020
    FIRST_BYTE = 1030
    OUTCOME = 1040
    CLIENT_DISCONNECTED = 1050
    TIMER_EXPIRED = 1060
    HEALTH_CHECKED = 1070
    GOSSIP_RECEIVED = 1080
    STOP = 1090
    SHEET = 1100


class ActionCode(IntEnum):
    """The first field of an action's record."""

    FAIL = 1000
    SET_TIMER = 1010
    FAULT = 1020
    CANCEL = 1030
    FETCH_ENDPOINT_LIST = 1040
    LOG = 1050
    CLOSE_IDLE_CONNECTIONS = 1060
    WATCH_ENDPOINT_LIST = 1070
    REJECT = 1080
    SEND = 1090
    SEND_GOSSIP = 1100
    SEND_HEALTH_CHECK = 1110


class ProtocolError(ValueError):
    """The bytes are not a legal frame."""


class Boot(NamedTuple):
    """An instance starts, with a seed and its settings as JSON."""

    seed: int
    params: bytes


class Stop(NamedTuple):
    """An instance ends."""


class EndpointListSheet(NamedTuple):
    """A numbered endpoint list, valid for the whole process until its number is used again."""

    number: int
    entries: tuple[api.EndpointListing, ...]


class EndpointListReference(NamedTuple):
    """An endpoint list update whose entries are those of a numbered sheet."""

    version: int
    form: int
    sheet: int


WireEvent = Union[api.Event, Boot, Stop, EndpointListSheet, EndpointListReference]


def decode_batch(count: int, body: bytes) -> list[tuple[int, WireEvent]]:
    """The (instance, event) pairs of a batch's records; a Sheet carries instance -1."""
    events: list[tuple[int, WireEvent]] = []
    at = 0
    try:
        for _ in range(count):
            (code,) = _CODE.unpack_from(body, at)
            reader = _READERS.get(code)
            if reader is None:
                raise ProtocolError(f"unknown event code {code}")
            instance, event, at = reader(body, at + 2)
            events.append((instance, event))
    except struct.error as error:
        raise ProtocolError(f"truncated record: {error}") from None
    if at != len(body):
        raise ProtocolError(f"{len(body) - at} bytes left after the last record")
    return events


_Record = tuple[int, WireEvent, int]


def _take(body: bytes, at: int, size: int) -> tuple[bytes, int]:
    if at + size > len(body):
        raise ProtocolError("truncated record: a field runs past the frame")
    return body[at : at + size], at + size


def _loads(body: bytes, at: int, count: int) -> tuple[tuple[float, ...], int]:
    raw, end = _take(body, at, 4 * count)
    return struct.unpack(f"<{count}f", raw), end


def _status(value: int) -> api.AttemptStatus:
    try:
        return _STATUSES[value]
    except IndexError:
        raise ProtocolError(f"unknown status {value}") from None


_STATUSES = tuple(api.AttemptStatus(n) for n in range(len(api.AttemptStatus)))


def _read_boot(body: bytes, at: int) -> _Record:
    instance, seed, size = _BOOT.unpack_from(body, at)
    params, end = _take(body, at + _BOOT.size, size)
    return instance, Boot(seed, params), end


def _read_stop(body: bytes, at: int) -> _Record:
    (instance,) = _INSTANCE.unpack_from(body, at)
    return instance, Stop(), at + _INSTANCE.size


def _read_sheet(body: bytes, at: int) -> _Record:
    number, count = _SHEET.unpack_from(body, at)
    raw, end = _take(body, at + _SHEET.size, count * _LISTING.size)
    return (
        -1,
        EndpointListSheet(number, tuple(map(api.EndpointListing._make, _LISTING.iter_unpack(raw)))),
        end,
    )


def _read_endpoint_list(body: bytes, at: int) -> _Record:
    instance, version, form, sheet = _ENDPOINT_LIST.unpack_from(body, at)
    if form > api.EndpointListKind.CACHED:
        raise ProtocolError(f"unknown roster form {form}")
    return instance, EndpointListReference(version, form, sheet), at + _ENDPOINT_LIST.size


def _read_request(body: bytes, at: int) -> _Record:
    instance, request, hint, key, remaining, tenant, flags, class_index = _REQUEST.unpack_from(body, at)
    event = api.RequestArrived(
        request,
        class_index,
        remaining,
        hint if flags & RequestFlag.HINT_VALID else None,
        key,
        tenant,
        bool(flags & RequestFlag.IS_RETRY),
        bool(flags & RequestFlag.IS_WRITE),
    )
    return instance, event, at + _REQUEST.size


def _read_first_byte(body: bytes, at: int) -> _Record:
    instance, request, endpoint, latency, attempt = _FIRST_BYTE.unpack_from(body, at)
    return instance, api.FirstByteReceived(request, endpoint, latency, attempt), at + _FIRST_BYTE.size


def _read_outcome(body: bytes, at: int) -> _Record:
    fields = _OUTCOME.unpack_from(body, at)
    instance, request, endpoint, attempt, latency, status, finished, columns = fields
    load, end = _loads(body, at + _OUTCOME.size, columns)
    event = api.AttemptOutcome(request, endpoint, attempt, latency, _status(status), bool(finished), load)
    return instance, event, end


def _read_client_disconnected(body: bytes, at: int) -> _Record:
    instance, request = _CLIENT_DISCONNECTED.unpack_from(body, at)
    return instance, api.ClientDisconnected(request), at + _CLIENT_DISCONNECTED.size


def _read_timer_expired(body: bytes, at: int) -> _Record:
    instance, token = _TIMER_EXPIRED.unpack_from(body, at)
    return instance, api.TimerExpired(token), at + _TIMER_EXPIRED.size


def _read_health_checked(body: bytes, at: int) -> _Record:
    instance, status, endpoint, latency, columns = _HEALTH_CHECKED.unpack_from(body, at)
    load, end = _loads(body, at + _HEALTH_CHECKED.size, columns)
    return instance, api.HealthCheckResult(endpoint, _status(status), latency, load), end


def _read_gossip(body: bytes, at: int) -> _Record:
    instance, sender, size = _GOSSIP_RECEIVED.unpack_from(body, at)
    data, end = _take(body, at + _GOSSIP_RECEIVED.size, size)
    return instance, _decode_gossip(sender, data), end


_SLOWDOWNS = tuple(2.0 ** (n / _DOUBLING_LEVEL - 4) for n in range(256))  # a byte's value: 1/16 to 3800
_QUEUES = tuple(2.0 ** (n / _DOUBLING_LEVEL) - 1 for n in range(256))


def _decode_gossip(sender: int, data: bytes) -> api.GossipReceived:
    """A peer may run another release: what is no message of this one carries nothing."""
    if not data or (len(data) - 1) % _OBSERVATION.size:
        return api.GossipReceived(sender)
    rows = _OBSERVATION.iter_unpack(data[1:])
    seen = tuple(
        [
            api.EndpointObservation(n, _SLOWDOWNS[slow], _QUEUES[queue], age * _AGE_NS)
            for n, slow, queue, age in rows
        ]
    )
    return api.GossipReceived(sender, data[0] / 255, seen)


def _byte(value: float) -> int:
    return max(0, min(255, round(value)))


def _encode_gossip(queueing_ratio: float, observations: tuple[api.EndpointObservation, ...]) -> bytes:
    rows = [
        _OBSERVATION.pack(
            s.endpoint,
            _byte(_DOUBLING_LEVEL * (log2(max(s.slowdown, 1e-9)) + 4)),
            _byte(_DOUBLING_LEVEL * log2(s.queue + 1)),
            _byte(s.age_ns / _AGE_NS),
        )
        for s in observations[: api.MAX_OBSERVED_ENDPOINTS]
    ]
    return bytes((_byte(255 * queueing_ratio),)) + b"".join(rows)


_READERS: dict[int, Callable[[bytes, int], _Record]] = {
    EventCode.BOOT: _read_boot,
    EventCode.ENDPOINT_LIST: _read_endpoint_list,
    EventCode.REQUEST: _read_request,
    EventCode.FIRST_BYTE: _read_first_byte,
    EventCode.OUTCOME: _read_outcome,
    EventCode.CLIENT_DISCONNECTED: _read_client_disconnected,
    EventCode.TIMER_EXPIRED: _read_timer_expired,
    EventCode.HEALTH_CHECKED: _read_health_checked,
    EventCode.GOSSIP_RECEIVED: _read_gossip,
    EventCode.STOP: _read_stop,
    EventCode.SHEET: _read_sheet,
}

_FAIL = struct.Struct("<HIQ")
_SET_TIMER = struct.Struct("<HIQI")
_TEXT = struct.Struct("<HIH")
_CANCEL = struct.Struct("<HIQH")
_FETCH = struct.Struct("<HI")
_ENDPOINT = struct.Struct("<HII")
_WATCH = struct.Struct("<HIB")
_REJECT = struct.Struct("<HIQQ")
_SEND = struct.Struct("<HIQIQ")
_GOSSIP = struct.Struct("<HIIH")


def _text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode()[:_MAX_TEXT_BYTES].decode(errors="ignore").encode()
    return _TEXT.pack(code, instance, len(raw)) + raw


def encode_action(instance: int, action: api.Action) -> bytes:
    """One action as a reply record."""
    match action:
        case api.Send(request, endpoint, timeout):
            return _SEND.pack(ActionCode.SEND, instance, request, endpoint, timeout)
        case api.SetTimer(delay, token):
            return _SET_TIMER.pack(ActionCode.SET_TIMER, instance, delay, token)
        case api.Reject(request, retry_after):
            return _REJECT.pack(ActionCode.REJECT, instance, request, retry_after)
        case api.Fail(request):
            return _FAIL.pack(ActionCode.FAIL, instance, request)
        case api.Cancel(request, attempt):
            return _CANCEL.pack(ActionCode.CANCEL, instance, request, attempt)
        case api.Fault(text):
            return _text(ActionCode.FAULT, instance, text)
        case api.Log(text):
            return _text(ActionCode.LOG, instance, text)
        case api.FetchEndpointList():
            return _FETCH.pack(ActionCode.FETCH_ENDPOINT_LIST, instance)
        case api.CloseIdleConnections(endpoint):
            return _ENDPOINT.pack(ActionCode.CLOSE_IDLE_CONNECTIONS, instance, endpoint)
        case api.WatchEndpointList(active):
            return _WATCH.pack(ActionCode.WATCH_ENDPOINT_LIST, instance, active)
        case api.SendGossip(peer, queueing_ratio, observations):
            data = _encode_gossip(queueing_ratio, observations)
            target = _ALL_INSTANCES if peer < 0 else peer
            return _GOSSIP.pack(ActionCode.SEND_GOSSIP, instance, target, len(data)) + data
        case api.SendHealthCheck(endpoint):
            return _ENDPOINT.pack(ActionCode.SEND_HEALTH_CHECK, instance, endpoint)


def encode_reply(actions: list[tuple[int, api.Action]]) -> bytes:
    """The reply to one batch: the actions of all instances, in order."""
    body = b"".join([encode_action(instance, action) for instance, action in actions])
    return REPLY_HEADER.pack(len(actions), len(body)) + body
