"""How long the id of a request that may have been executed is remembered, and how many are."""

from __future__ import annotations

from anisespool.proxy.executed_ids import MAX_IDS, RETENTION_NS, ExecutedIds


def test_an_id_is_remembered_for_a_limited_time() -> None:
    ids = ExecutedIds()
    ids.add(b"t1", now=5)
    assert ids.contains(b"t1", now=RETENTION_NS)
    assert not ids.contains(b"t1", now=RETENTION_NS + 5)
    assert not ids.contains(b"t2", now=5)


def test_the_oldest_id_is_forgotten_first() -> None:
    ids = ExecutedIds()
    for number in range(MAX_IDS):
        ids.add(b"t%d" % number, now=0)
    ids.add(b"t0", now=0)
    ids.add(b"new", now=0)
    assert [ids.contains(name, now=0) for name in (b"t0", b"t1", b"t2", b"new")] == [True, False, True, True]
