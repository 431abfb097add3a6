"""MSGIDs, by which receivers and `anisespool trace` distinguish messages (docs/records.md)."""

from __future__ import annotations

REQUEST = "path"
"""A request that has ended."""
GAP = "gap"
"""Missing records: dropped, or unconfirmed after a lost connection."""
COUNTS = "account"
"""Counts of requests and records since the start of the process."""
