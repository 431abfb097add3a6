"""Codec of the simulator's binary protocol: little-endian, unpadded records of the interface's types."""

import struct
from collections.abc import Callable
from enum import IntEnum
from math import log2
from typing import NamedTuple, Union

from anisespool.balancer import interface as api

BATCH_HEADER = struct.Struct("<IIQ")
CLOCK_BYTES = 8  # the clock follows the length field, and the length includes it
REPLY_HEADER = struct.Struct("<II")

_CODE = struct.Struct("<H")
_INSTANCE = struct.Struct("<I")
_BOOT = struct.Struct("<IQI")
_NUMBERED_LIST = struct.Struct("<II")
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
_STEPS_PER_DOUBLING = 16  # gossip has logarithmic values: a value doubles in this many steps
_AGE_UNIT_NS = 50_000_000  # unit of gossiped ages

_ALL_INSTANCES = 0xFFFFFFFF
_MAX_TEXT_BYTES = 1000


class RequestFlag(IntEnum):
    """The bits of a request's flags field."""

    HINT_VALID = 1
    IS_RETRY = 2
    IS_WRITE = 4


class EventCode(IntEnum):
    """The code that an event's record starts with."""

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
    SHEET = 1100  # a numbered endpoint list


class ActionCode(IntEnum):
    """The code that an action's record starts with."""

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
    """The bytes are not a valid frame."""


class Boot(NamedTuple):
    """An instance starts; `params` is its settings as JSON."""

    seed: int
    params: bytes


class Stop(NamedTuple):
    """An instance stops."""


class NumberedEndpointList(NamedTuple):
    """An endpoint list that later events refer to by number, until the number is used again."""

    number: int
    entries: tuple[api.EndpointListing, ...]


class EndpointListReference(NamedTuple):
    """An endpoint list update whose entries are those of a numbered list."""

    version: int
    kind: int
    list_number: int


WireEvent = Union[api.Event, Boot, Stop, NumberedEndpointList, EndpointListReference]


def decode_batch(count: int, body: bytes) -> list[tuple[int, WireEvent]]:
    """Return each record's instance and event; a numbered list has the instance -1."""
    events: list[tuple[int, WireEvent]] = []
    offset = 0
    try:
        for _ in range(count):
            (code,) = _CODE.unpack_from(body, offset)
            reader = _READERS.get(code)
            if reader is None:
                raise ProtocolError(f"unknown event code {code}")
            instance, event, offset = reader(body, offset + 2)
            events.append((instance, event))
    except struct.error as error:
        raise ProtocolError(f"truncated record: {error}") from None
    if offset != len(body):
        raise ProtocolError(f"{len(body) - offset} bytes left after the last record")
    return events


_Record = tuple[int, WireEvent, int]


def _read_bytes(body: bytes, offset: int, size: int) -> tuple[bytes, int]:
    if offset + size > len(body):
        raise ProtocolError("truncated record: a field extends beyond the frame")
    return body[offset : offset + size], offset + size


def _read_load(body: bytes, offset: int, count: int) -> tuple[tuple[float, ...], int]:
    raw, end = _read_bytes(body, offset, 4 * count)
    return struct.unpack(f"<{count}f", raw), end


def _to_status(value: int) -> api.AttemptStatus:
    try:
        return _STATUSES[value]
    except IndexError:
        raise ProtocolError(f"unknown status {value}") from None


_STATUSES = tuple(api.AttemptStatus(n) for n in range(len(api.AttemptStatus)))


def _read_boot(body: bytes, offset: int) -> _Record:
    instance, seed, size = _BOOT.unpack_from(body, offset)
    params, end = _read_bytes(body, offset + _BOOT.size, size)
    return instance, Boot(seed, params), end


def _read_stop(body: bytes, offset: int) -> _Record:
    (instance,) = _INSTANCE.unpack_from(body, offset)
    return instance, Stop(), offset + _INSTANCE.size


def _read_numbered_list(body: bytes, offset: int) -> _Record:
    number, count = _NUMBERED_LIST.unpack_from(body, offset)
    raw, end = _read_bytes(body, offset + _NUMBERED_LIST.size, count * _LISTING.size)
    return (
        -1,
        NumberedEndpointList(number, tuple(map(api.EndpointListing._make, _LISTING.iter_unpack(raw)))),
        end,
    )


def _read_endpoint_list(body: bytes, offset: int) -> _Record:
    instance, version, kind, list_number = _ENDPOINT_LIST.unpack_from(body, offset)
    if kind > api.EndpointListKind.CACHED:
        raise ProtocolError(f"unknown endpoint list kind {kind}")
    return instance, EndpointListReference(version, kind, list_number), offset + _ENDPOINT_LIST.size


def _read_request(body: bytes, offset: int) -> _Record:
    instance, request, hint, key, remaining, tenant, flags, class_index = _REQUEST.unpack_from(body, offset)
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
    return instance, event, offset + _REQUEST.size


def _read_first_byte(body: bytes, offset: int) -> _Record:
    instance, request, endpoint, latency, attempt = _FIRST_BYTE.unpack_from(body, offset)
    return instance, api.FirstByteReceived(request, endpoint, latency, attempt), offset + _FIRST_BYTE.size


def _read_outcome(body: bytes, offset: int) -> _Record:
    fields = _OUTCOME.unpack_from(body, offset)
    instance, request, endpoint, attempt, latency, status, finished, columns = fields
    load, end = _read_load(body, offset + _OUTCOME.size, columns)
    event = api.AttemptOutcome(request, endpoint, attempt, latency, _to_status(status), bool(finished), load)
    return instance, event, end


def _read_client_disconnected(body: bytes, offset: int) -> _Record:
    instance, request = _CLIENT_DISCONNECTED.unpack_from(body, offset)
    return instance, api.ClientDisconnected(request), offset + _CLIENT_DISCONNECTED.size


def _read_timer_expired(body: bytes, offset: int) -> _Record:
    instance, token = _TIMER_EXPIRED.unpack_from(body, offset)
    return instance, api.TimerExpired(token), offset + _TIMER_EXPIRED.size


def _read_health_checked(body: bytes, offset: int) -> _Record:
    instance, status, endpoint, latency, columns = _HEALTH_CHECKED.unpack_from(body, offset)
    load, end = _read_load(body, offset + _HEALTH_CHECKED.size, columns)
    return instance, api.HealthCheckResult(endpoint, _to_status(status), latency, load), end


def _read_gossip(body: bytes, offset: int) -> _Record:
    instance, sender, size = _GOSSIP_RECEIVED.unpack_from(body, offset)
    data, end = _read_bytes(body, offset + _GOSSIP_RECEIVED.size, size)
    return instance, _decode_gossip(sender, data), end


_SLOWDOWN_BY_BYTE = tuple(
    2.0 ** (n / _STEPS_PER_DOUBLING - 4) for n in range(256)
)  # values by byte: 1/16 to 3900
_QUEUE_BY_BYTE = tuple(2.0 ** (n / _STEPS_PER_DOUBLING) - 1 for n in range(256))


def _decode_gossip(sender: int, data: bytes) -> api.GossipReceived:
    """Decode a gossip message; one in the format of another release has no content."""
    if not data or (len(data) - 1) % _OBSERVATION.size:
        return api.GossipReceived(sender)
    rows = _OBSERVATION.iter_unpack(data[1:])
    observations = tuple(
        [
            api.EndpointObservation(
                endpoint, _SLOWDOWN_BY_BYTE[slowdown], _QUEUE_BY_BYTE[queue], age * _AGE_UNIT_NS
            )
            for endpoint, slowdown, queue, age in rows
        ]
    )
    return api.GossipReceived(sender, data[0] / 255, observations)


def _clamp_to_byte(value: float) -> int:
    return max(0, min(255, round(value)))


def _encode_gossip(queueing_ratio: float, observations: tuple[api.EndpointObservation, ...]) -> bytes:
    rows = [
        _OBSERVATION.pack(
            observation.endpoint,
            _clamp_to_byte(_STEPS_PER_DOUBLING * (log2(max(observation.slowdown, 1e-9)) + 4)),
            _clamp_to_byte(_STEPS_PER_DOUBLING * log2(observation.queue + 1)),
            _clamp_to_byte(observation.age_ns / _AGE_UNIT_NS),
        )
        for observation in observations[: api.MAX_OBSERVED_ENDPOINTS]
    ]
    return bytes((_clamp_to_byte(255 * queueing_ratio),)) + b"".join(rows)


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
    EventCode.SHEET: _read_numbered_list,
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


def _encode_text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode()[:_MAX_TEXT_BYTES].decode(errors="ignore").encode()
    return _TEXT.pack(code, instance, len(raw)) + raw


def encode_action(instance: int, action: api.Action) -> bytes:
    """Return an action's reply record."""
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
            return _encode_text(ActionCode.FAULT, instance, text)
        case api.Log(text):
            return _encode_text(ActionCode.LOG, instance, text)
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
    """Return the reply to a batch: all instances' actions, in order."""
    body = b"".join([encode_action(instance, action) for instance, action in actions])
    return REPLY_HEADER.pack(len(actions), len(body)) + body
