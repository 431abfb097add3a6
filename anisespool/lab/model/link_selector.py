"""Selects the nodes on either side of a link: single processes, zones, halves, and their complements.

    all  sidecars  endpoints  discovery  sidecar:3  sidecars:0-9  endpoint:4  endpoints:0-5  zone:1
    half:0  (the sidecars and endpoints of even number; half:1, of odd)

Several joined with `+` select all of these; a `!` before one selects all others. Numbers count from 0.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Literal, NamedTuple

GROUPS = ("all", "sidecars", "endpoints", "discovery")
NUMBERED = re.compile(r"(sidecar|endpoint|zone|half):([0-9]{1,6})")
RANGE = re.compile(r"(sidecars|endpoints):([0-9]{1,6})-([0-9]{1,6})")
MAX_CHARACTERS = 200
WANTED = (
    "all, sidecars, endpoints, discovery, sidecar:N, sidecars:N-M, endpoint:N, endpoints:N-M, zone:N, half:N"
)


class Node(NamedTuple):
    """One end of a link.

    Attributes:
        number: From 0.
        zone: Discovery is in none (-1), as every sidecar has an agent of its own.
    """

    kind: Literal["sidecar", "endpoint", "discovery"]
    number: int
    zone: int = -1


NodeSelector = Callable[[Node], bool]
DISCOVERY = Node("discovery", 0)


def parse_selector(text: str) -> NodeSelector:
    """Parses a selection.

    Raises:
        ValueError: It is none; the text says what was found and what was wanted.
    """
    if len(text) > MAX_CHARACTERS:
        raise ValueError(f"found {len(text)} characters, wanted at most {MAX_CHARACTERS}")
    sides = [_parse_term(term.strip()) for term in text.split("+")]
    return lambda node: any(side(node) for side in sides)


def _parse_term(term: str) -> NodeSelector:
    if term.startswith("!"):
        inner = _parse_term(term[1:])
        return lambda node: not inner(node)
    if term == "all":
        return lambda node: True
    if term in GROUPS:
        kind = term.removesuffix("s")
        return lambda node: node.kind == kind
    if found := NUMBERED.fullmatch(term):
        return _numbered(found[1], int(found[2]))
    if found := RANGE.fullmatch(term):
        return _numbered_range(found[1].removesuffix("s"), int(found[2]), int(found[3]))
    raise ValueError(f"found {term!r}, wanted one of {WANTED}")


def _numbered(kind: str, number: int) -> NodeSelector:
    if kind == "zone":
        return lambda node: node.zone == number
    if kind == "half":
        return lambda node: node.kind != "discovery" and node.number % 2 == number
    return lambda node: node.kind == kind and node.number == number


def _numbered_range(kind: str, first: int, last: int) -> NodeSelector:
    return lambda node: node.kind == kind and first <= node.number <= last
