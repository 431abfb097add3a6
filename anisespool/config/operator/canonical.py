"""The canonical form of a live configuration, in which instances and the agent compare and store it."""

from __future__ import annotations

import hashlib

import msgspec

from anisespool.config.operator.schema import LiveConfig, OperatorConfig
from anisespool.config.operator.tables import Tables

DIGEST_CHARACTERS = 32


def canonical_json(live: LiveConfig) -> bytes:
    """Return JSON with sorted keys and the given sections' defaults. Equal contents give equal bytes."""
    return msgspec.json.encode(live, order="sorted")


def digest(live: LiveConfig) -> str:
    """Return the first 128 bits of the SHA-256 of the canonical JSON, in hexadecimal."""
    return hashlib.sha256(canonical_json(live)).hexdigest()[:DIGEST_CHARACTERS]


def to_tables(config: LiveConfig | OperatorConfig) -> Tables:
    """Return the sections as tables for JSON responses."""
    tables: Tables = msgspec.to_builtins(config)
    return tables
