"""MSGIDs of the messages, by which receivers and `anisespool trace` distinguish them (docs/records.md)."""

from __future__ import annotations

REQUEST = "path"
"""One request that has ended."""
GAP = "gap"
"""Records that are missing: dropped, or unconfirmed after a lost connection."""
COUNTS = "account"
"""Counts since the start of the process."""
