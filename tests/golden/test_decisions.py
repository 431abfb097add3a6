"""The first events of every stream against the golden hashes; decision_streams.py plays all events."""

from __future__ import annotations

import subprocess
from typing import Any

import pytest

from tests.golden.decision_streams import load_plans, play
from tests.golden.simulator_wire import ROOT, encode_batch, simulator_command


@pytest.mark.parametrize("plan", load_plans(), ids=lambda plan: str(plan["name"]))
def test_decisions_match_the_golden_hashes(plan: dict[str, Any]) -> None:
    assert play(plan, 1).checkpoints == plan["checkpoints"][:1]


INVALID_BATCHES = {
    "unknown code": encode_batch(0, [b"\xff\xff"]),
    "record cut off": encode_batch(0, [b"\xfc\x03"]),
    "a byte too many": encode_batch(0, [])[:4] + b"\x09" + bytes(12),
    "half a header": encode_batch(0, [])[:9],
}


@pytest.mark.parametrize("batch", INVALID_BATCHES.values(), ids=INVALID_BATCHES)
def test_an_invalid_batch_ends_the_program_after_its_earlier_replies(batch: bytes) -> None:
    data = encode_batch(0, []) + batch
    finished = subprocess.run(simulator_command(), cwd=ROOT, input=data, capture_output=True)
    assert (finished.returncode, finished.stdout) == (2, bytes(8))
