"""Selectors of the nodes on either side of a link: single processes, zones, halves, and their complements.

    all  sidecars  endpoints  discovery  sidecar:3  sidecars:0-9  endpoint:4  endpoints:0-5  zone:1
    half:0  (sidecars and endpoints with even numbers; half:1 selects those with odd numbers)

Several terms joined with `+` select the union. A `!` before a term selects all other nodes. Numbers count
from 0.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Literal, NamedTuple

GROUPS = ("all", "sidecars", "endpoints", "discovery")
NUMBERED = re.compile(r"(sidecar|endpoint|zone|half):([0-9]{1,6})")
RANGE = re.compile(r"(sidecars|endpoints):([0-9]{1,6})-([0-9]{1,6})")
MAX_CHARACTERS = 200
SELECTOR_FORMS = (
    "all, sidecars, endpoints, discovery, sidecar:N, sidecars:N-M, endpoint:N, endpoints:N-M, zone:N, half:N"
)


class Node(NamedTuple):
    """A sidecar, an endpoint or discovery, as one end of a link.

    Attributes:
        number: Index among the nodes of the same kind, from 0.
        zone: The node's zone; -1 for discovery, which stands for an agent of each sidecar.
    """

    kind: Literal["sidecar", "endpoint", "discovery"]
    number: int
    zone: int = -1


NodeSelector = Callable[[Node], bool]
DISCOVERY = Node("discovery", 0)


def parse_selector(text: str) -> NodeSelector:
    """Parses a selector.

    Raises:
        ValueError: The text is not a selector. The message names what was found and what was wanted.
    """
    if len(text) > MAX_CHARACTERS:
        raise ValueError(f"found {len(text)} characters, wanted at most {MAX_CHARACTERS}")
    selectors = [_parse_term(term.strip()) for term in text.split("+")]
    return lambda node: any(selector(node) for selector in selectors)


def _parse_term(term: str) -> NodeSelector:
    if term.startswith("!"):
        negated = _parse_term(term[1:])
        return lambda node: not negated(node)
    if term == "all":
        return lambda node: True
    if term in GROUPS:
        kind = term.removesuffix("s")
        return lambda node: node.kind == kind
    if match := NUMBERED.fullmatch(term):
        return _numbered(match[1], int(match[2]))
    if match := RANGE.fullmatch(term):
        return _numbered_range(match[1].removesuffix("s"), int(match[2]), int(match[3]))
    raise ValueError(f"found {term!r}, wanted one of {SELECTOR_FORMS}")


def _numbered(kind: str, number: int) -> NodeSelector:
    if kind == "zone":
        return lambda node: node.zone == number
    if kind == "half":
        return lambda node: node.kind != "discovery" and node.number % 2 == number
    return lambda node: node.kind == kind and node.number == number


def _numbered_range(kind: str, first: int, last: int) -> NodeSelector:
    return lambda node: node.kind == kind and first <= node.number <= last
