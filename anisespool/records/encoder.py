"""Encodes requests, gaps and counts as RFC 5424 messages; docs/records.md describes their parameters."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property, lru_cache
from typing import NamedTuple

from anisespool.balancer.interface import AttemptStatus
from anisespool.records import message_ids
from anisespool.records.accounting import RecordCounts, UnconfirmedRange
from anisespool.records.buffer import Gap
from anisespool.records.outcome import OUTCOME_NAMES, Outcome
from anisespool.records.request_record import RequestRecord
from anisespool.records.rfc5424 import (
    Element,
    Header,
    Origin,
    Param,
    Severity,
    TimestampFormatter,
    encode_message,
    escape_value,
)

SEVERITIES = {
    Outcome.SERVED: Severity.INFO,
    Outcome.SHED: Severity.WARNING,
    Outcome.FAILED: Severity.ERROR,
    Outcome.CLIENT_DISCONNECTED: Severity.NOTICE,
    Outcome.REJECTED: Severity.NOTICE,
}
STATUS_NAMES: dict[int, str] = {status: status.name.lower().replace("_", "-") for status in AttemptStatus}
# After this value, `sequenceId` starts again at 1 (RFC 5424, 7.3.1).
MAX_SEQUENCE_ID = 2_147_483_647
MAX_CACHED_ENDPOINT_NAMES = 4096


def local_offset_s(unix_s: int) -> int:
    """Return the local time zone's offset from UTC at a Unix second, in seconds east."""
    return time.localtime(unix_s).tm_gmtoff


def sequence_id(number: int) -> int:
    """Return the `sequenceId` (RFC 5424, 7.3.1) for a record number, which counts from 1."""
    return (number - 1) % MAX_SEQUENCE_ID + 1


class LengthLimits(NamedTuple):
    """Maximum lengths of messages and parameter values; longer ones are truncated."""

    max_record_bytes: int
    max_value_bytes: int


@dataclass(frozen=True)
class RecordEncoder:
    """Encodes the records of one sidecar. It has no slots, as cached properties need a `__dict__`.

    Attributes:
        origin: Header fields that are the same for all messages.
        enterprise_number: The operator's private enterprise number, used in SD-IDs.
        node: The sidecar's name, escaped.
        class_names: Names of the request classes by index, escaped.
        max_record_bytes: Maximum length of a message.
        max_value_bytes: Maximum length of a parameter value.
        format_timestamp: Formats a time in Unix ns.
    """

    origin: Origin
    enterprise_number: str
    node: str
    class_names: tuple[str, ...]
    max_record_bytes: int
    max_value_bytes: int
    format_timestamp: TimestampFormatter

    @classmethod
    def create(
        cls,
        origin: Origin,
        enterprise_number: str,
        node: str,
        class_names: tuple[str, ...],
        limits: LengthLimits,
        offset_s: Callable[[int], int] = local_offset_s,
    ) -> RecordEncoder:
        """Create an encoder from unescaped names.

        Raises:
            OriginError: A part of `origin` is not valid in a header.
        """
        origin.check()
        return cls(
            origin,
            enterprise_number,
            escape_value(node, limits.max_value_bytes),
            tuple(escape_value(name, limits.max_value_bytes) for name in class_names),
            limits.max_record_bytes,
            limits.max_value_bytes,
            TimestampFormatter(offset_s),
        )

    @cached_property
    def _header_starts(self) -> list[str]:
        """The text before a request's timestamp, by outcome."""
        return [f"<{self.origin.facility * 8 + SEVERITIES[outcome]}>1 " for outcome in Outcome]

    @cached_property
    def _header_end(self) -> str:
        """The text between a request's timestamp and its sequenceId."""
        origin = self.origin
        return f' {origin.host} {origin.app} {origin.procid} {message_ids.REQUEST} [meta sequenceId="'

    def encode_request(self, number: int, request: RequestRecord, unix_ns: int) -> bytes:
        """Encode a request's record, as a single string if it fits: `encode_request_elements` is slower."""
        class_index = request.request_class
        arrived_ns = request.arrived_ns
        limit = self.max_value_bytes
        suffix = f"@{self.enterprise_number}"
        text = (
            f"{self._header_starts[request.outcome]}{self.format_timestamp(unix_ns)}{self._header_end}"
            f'{sequence_id(number)}"][req{suffix} trace="{escape_value(request.trace_id, limit)}"'
            f' class="{self.class_names[class_index] if class_index >= 0 else "-"}"'
            f' member="{escape_value(request.tenant, limit)}" node="{self.node}"'
            f' outcome="{OUTCOME_NAMES[request.outcome]}" status="{request.status}"'
            f' ms="{(request.finished_ns - arrived_ns) / 1e6:.3f}" tries="{len(request.attempts)}"'
            f' alike="{request.fingerprint:08x}"'
        )
        if request.is_retry:
            text += ' retry="1"'
        if request.retry_after_s:
            text += f' back="{request.retry_after_s:.3f}"'
        text += "]"
        for index, (endpoint, status, started_ns, finished_ns) in enumerate(request.attempts, 1):
            text += (
                f'[try{index}{suffix} ep="{_endpoint_name(endpoint, limit)}" status="{STATUS_NAMES[status]}"'
                f' at="{(started_ns - arrived_ns) / 1e6:.3f}" ms="{(finished_ns - started_ns) / 1e6:.3f}"]'
            )
        data = text.encode()
        fits = len(data) <= self.max_record_bytes
        return data if fits else self.encode_request_elements(number, request, unix_ns)

    def encode_request_elements(self, number: int, request: RequestRecord, unix_ns: int) -> bytes:
        """Encode a request's record from its elements, truncated if it is too long."""
        meta = Element("meta", [Param("sequenceId", str(sequence_id(number)))])
        elements = [meta, self._request_element(request), *self._attempt_elements(request)]
        return self._encode(message_ids.REQUEST, SEVERITIES[request.outcome], elements, unix_ns)

    def _request_element(self, request: RequestRecord) -> Element:
        limit = self.max_value_bytes
        params: list[Param] = [
            Param("trace", escape_value(request.trace_id, limit)),
            Param("class", self.class_names[request.request_class] if request.request_class >= 0 else "-"),
            Param("member", escape_value(request.tenant, limit)),
            Param("node", self.node),
            Param("outcome", OUTCOME_NAMES[request.outcome]),
            Param("status", str(request.status)),
            Param("ms", _format_ms(request.finished_ns - request.arrived_ns)),
            Param("tries", str(len(request.attempts))),
            Param("alike", f"{request.fingerprint:08x}"),
        ]
        if request.is_retry:
            params.append(Param("retry", "1"))
        if request.retry_after_s:
            params.append(Param("back", f"{request.retry_after_s:.3f}"))
        return Element(self._sd_id("req"), params)

    def _attempt_elements(self, request: RequestRecord) -> list[Element]:
        return [
            Element(
                self._sd_id(f"try{index}"),
                [
                    Param("ep", _endpoint_name(attempt.endpoint, self.max_value_bytes)),
                    Param("status", STATUS_NAMES[attempt.status]),
                    Param("at", _format_ms(attempt.started_ns - request.arrived_ns)),
                    Param("ms", _format_ms(attempt.finished_ns - attempt.started_ns)),
                ],
            )
            for index, attempt in enumerate(request.attempts, 1)
        ]

    def encode_gap(self, gap: Gap, is_repeated: bool, unix_ns: int) -> bytes:
        """Encode a report of drops. `is_repeated` marks a report that the receiver may already have."""
        params: list[Param] = [
            Param("node", self.node),
            Param("dropped", str(gap.total)),
            Param("reason", "+".join(gap.reasons)),
            *[Param(OUTCOME_NAMES[outcome], str(count)) for outcome, count in enumerate(gap.counts) if count],
            Param("from", self.format_timestamp(gap.from_ns)),
            Param("to", self.format_timestamp(gap.to_ns)),
            Param("first", str(sequence_id(gap.first))),
            Param("last", str(sequence_id(gap.last))),
        ]
        if is_repeated:
            params.append(Param("again", "1"))
        return self._encode_status(message_ids.GAP, Severity.WARNING, params, unix_ns)

    def encode_unconfirmed(self, unconfirmed: UnconfirmedRange, unix_ns: int) -> bytes:
        """Encode a report of records left unconfirmed by a lost connection."""
        params = [
            Param("node", self.node),
            Param("unsure", str(unconfirmed.total)),
            Param("reason", "connection-lost"),
            Param("first", str(sequence_id(unconfirmed.first))),
            Param("last", str(sequence_id(unconfirmed.last))),
        ]
        return self._encode_status(message_ids.GAP, Severity.NOTICE, params, unix_ns)

    def encode_counts(self, counts: RecordCounts, dropped: list[int], is_last: bool, unix_ns: int) -> bytes:
        """Encode the counts since the start. `is_last` marks the last report of this process."""
        params = [
            Param("node", self.node),
            Param("last", "1" if is_last else "0"),
            Param("unsure", str(counts.unconfirmed)),
        ]
        by_name = {
            "answered": counts.answered,
            "sent": counts.sent,
            "dropped": dropped,
            "unchosen": counts.sampled_out,
        }
        for name, by_outcome in by_name.items():
            params.append(Param(name, str(sum(by_outcome))))
            for outcome, count in enumerate(by_outcome):
                if count:
                    params.append(Param(f"{name}.{OUTCOME_NAMES[outcome]}", str(count)))
        return self._encode_status(message_ids.COUNTS, Severity.INFO, params, unix_ns)

    def _sd_id(self, name: str) -> str:
        return f"{name}@{self.enterprise_number}"

    def _encode_status(self, msgid: str, severity: Severity, params: list[Param], unix_ns: int) -> bytes:
        """Encode a message about the records themselves; its only element is named after its MSGID."""
        return self._encode(msgid, severity, [Element(self._sd_id(msgid), params)], unix_ns)

    def _encode(self, msgid: str, severity: Severity, elements: list[Element], unix_ns: int) -> bytes:
        header = Header(self.origin, severity, self.format_timestamp(unix_ns), msgid)
        return encode_message(header, elements, max_bytes=self.max_record_bytes)


def _format_ms(duration_ns: int) -> str:
    return f"{duration_ns / 1e6:.3f}"


@lru_cache(MAX_CACHED_ENDPOINT_NAMES)
def _endpoint_name(raw: str, max_bytes: int) -> str:
    return escape_value(raw, max_bytes)
