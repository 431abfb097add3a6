"""Consecutive JSON documents are parsed from bytes that are split anywhere."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from anisespool.codec.json_stream import JsonStreamError, JsonStreamParser
from anisespool.config.platform import Address
from anisespool.fakes.platform import member, member_list

LIST = member_list(
    43,
    [
        member("s-0", Address("127.0.0.1", 7001)),
        member("s-1", Address("127.0.0.1", 7002), locality='}"{\\n\u00e9'),
    ],
)
IN_ONE_PIECE = 10**6
PIECE_SIZES = [1, 2, 3, 64, IN_ONE_PIECE]
LAYOUTS: dict[str, Callable[[Any], str]] = {
    "line": json.dumps,
    "indented": lambda raw: json.dumps(raw, indent=2),
    "no indent": lambda raw: json.dumps(raw, indent=0, ensure_ascii=False),
    "wide": lambda raw: json.dumps(raw, separators=("\n , ", "\r\n:\t")),
}


def pieces(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]


@pytest.mark.parametrize("piece_size", PIECE_SIZES)
@pytest.mark.parametrize("layout", LAYOUTS)
def test_json_documents_are_read_in_any_layout_split_at_any_byte(layout: str, piece_size: int) -> None:
    text = LAYOUTS[layout](LIST)
    data = f"\n{text}\n\n{text}{text}\n \n".encode()
    stream = JsonStreamParser(len(data))
    received = [stream.feed(piece) for piece in pieces(data, piece_size)]
    assert [document for part in received for document in part.documents] == [LIST] * 3
    assert sum(part.line_ends for part in received) == 5


INVALID_JSON = [
    b"null",
    b"7",
    b"{nonsense",
    b'{"a": tru',
    b"\xff\xfe",
    b"{\xff",
    b"[" * 100_000,
    b'{"a": "x',
    b"{]",
    b'{"a" 1}',
    b"}",
]


@pytest.mark.parametrize("invalid", INVALID_JSON, ids=lambda invalid: repr(invalid[:12]))
@pytest.mark.parametrize("piece_size", [1, IN_ONE_PIECE])
def test_invalid_json_is_reported_by_the_end_of_its_line(invalid: bytes, piece_size: int) -> None:
    """Otherwise it could hide the next document, or be taken for its beginning."""
    stream = JsonStreamParser(10**6)
    with pytest.raises(JsonStreamError):
        for piece in pieces(invalid + b"\n", piece_size):
            stream.feed(piece)


def test_an_endless_document_is_bounded() -> None:
    stream = JsonStreamParser(1000)
    stream.feed(b"{")
    with pytest.raises(JsonStreamError, match="1000"):
        for _ in range(299):
            stream.feed(b'"k":[')
