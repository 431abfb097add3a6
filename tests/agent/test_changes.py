"""Rollouts to fake instances with injected faults: waves, rejections, rollbacks and restarts."""

from __future__ import annotations

import asyncio
import sqlite3
import threading
from pathlib import Path
from typing import Any

import grpc
import pytest

from anisespool.agent.desired_state import Change
from anisespool.agent.rollout.planner import RolloutStep, next_step
from anisespool.agent.store import change_table
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.fakes.instance import ChangeGate
from tests.agent.harness import (
    CONTENT,
    AgentHarness,
    accept_changes,
    apply,
    assert_call_fails,
    last_message,
    reachabilities,
    reject_changes,
    statuses,
    wait_for_statuses,
)
from tests.harness.waiting import wait_until

DELAYED_READ_TIMEOUT_S = 10.0
CHANGE_TIMEOUT_S = 10.0  # a held change must not time out before the rollout is stopped


async def test_a_change_is_sent_in_waves_and_applied_once_by_each_instance(harness: AgentHarness) -> None:
    async with harness.agent_with_instances(7) as stub:
        started = []  # for each message, number of instances that have the change or a delivery in flight
        request = pb.ApplyRequest(content_json=CONTENT, wave=3, first_wave=1, most_unreachable=-1)
        async for progress in stub.Apply(request):
            started.append(progress.has + progress.sent)
        assert started == sorted(started)
        assert set(started) <= {0, 1, 4, 7}
        assert (progress.state, progress.has, progress.total) == ("settled", 7, 7)
        assert all(
            instance.applied_generations == instance.received_generations == [1]
            for instance in harness.instances.values()
        )
        rows = [row async for row in stub.List(pb.ListRequest(pattern="i[0-2]"))]
        assert [(row.name, row.generation, row.standing) for row in rows] == [
            (f"i{number}", 1, "has") for number in range(3)
        ]
        (late,) = await harness.start_instances("new")  # "new" gets the generation without another call
        await wait_until(lambda: late.generation == 1)
        await harness.instances["i3"].restart()
        await wait_until(lambda: harness.instances["i3"].generation == 1)


async def test_unreachable_instances_do_not_block_a_rollout(harness: AgentHarness) -> None:
    async with harness.agent_with_instances(6) as stub:
        silent = harness.instances["i0"]
        slow = harness.instances["i1"]
        invalid = harness.instances["i2"]
        silent.faults.is_silent = True
        slow.faults.response_delay_s = 10.0
        invalid.faults.raw_response = b"what?\r\n\r\n"
        last = await apply(stub, wave=2)
        assert (last.state, last.has, last.unreachable) == ("settled", 3, 3)
        listed = await reachabilities(stub)
        assert [listed[name] for name in ("i0", "i1", "i2")] == [
            pb.REACH_SILENT,
            pb.REACH_SILENT,
            pb.REACH_STRANGE,
        ]
        inspect = stub.Inspect(pb.InspectRequest(name="i0"))
        await assert_call_fails(inspect, grpc.StatusCode.UNAVAILABLE, "i0: no answer")
        silent.faults.is_silent = False
        slow.faults.response_delay_s = 0.0
        invalid.faults.raw_response = b""
        async with asyncio.timeout(5):
            await wait_until(lambda: {instance.generation for instance in harness.instances.values()} == {1})


async def test_a_rejection_pauses_a_rollout_which_can_be_resumed_or_aborted(harness: AgentHarness) -> None:
    async with harness.agent_with_instances(4) as stub:
        instances = harness.instances
        reject_changes(instances["i1"], "invalid value")
        last = await apply(stub, wave=1)
        assert (last.state, last.has, last.refused, last.lacks) == ("paused", 1, 1, 2)
        assert list(last.trouble) == ["i1: invalid value"]
        accept_changes(instances["i1"])
        await stub.Steer(pb.SteerRequest(deed=pb.DEED_RESUME, author="t"))
        await wait_for_statuses(stub, dict.fromkeys(instances, "has"))
        reject_changes(instances["i2"], "unsupported value")
        assert (await apply(stub, "{}", wave=1)).state == "paused"
        await stub.Steer(pb.SteerRequest(deed=pb.DEED_ABORT, author="t"))
        resume = stub.Steer(pb.SteerRequest(deed=pb.DEED_RESUME))
        text = "generation 2 is aborted: no resume"
        await assert_call_fails(resume, grpc.StatusCode.FAILED_PRECONDITION, text)
        await instances["i3"].restart()  # gets the last settled generation, not the aborted one
        await wait_until(lambda: instances["i3"].generation == 1)
        generations = {instance.name: instance.generation for instance in instances.values()}
        assert generations == {"i0": 2, "i1": 2, "i2": 1, "i3": 1}
        accept_changes(instances["i2"])
        last = await last_message(stub.Rollback(pb.RollbackRequest(base_generation=2)))
        assert (last.generation, last.state, last.has) == (3, "settled", 4)
        assert len({instance.digest for instance in instances.values()}) == 1


@pytest.mark.parametrize("action", [pb.DEED_ABORT, pb.DEED_PAUSE])
async def test_a_stopped_rollout_is_not_sent_to_instances_that_wait_for_a_request_slot(
    harness: AgentHarness, action: pb.Deed
) -> None:
    """An aborted change still reached each instance of the wave whose request had to wait."""
    harness.configure(at_once=1, answer_s=CHANGE_TIMEOUT_S)
    async with harness.agent_with_instances(4) as stub:
        first, *waiting = harness.instances.values()
        first.faults.change_gate = gate = ChangeGate()
        rollout = asyncio.create_task(apply(stub))
        await gate.arrived.wait()
        await wait_for_statuses(stub, dict.fromkeys(harness.instances, "sent"))
        await stub.Steer(pb.SteerRequest(deed=action, author="t"))
        gate.opened.set()
        await rollout
        while "sent" in (reached := await statuses(stub)).values():
            await asyncio.sleep(0.02)
        assert reached == {"i0": "has", "i1": "lacks", "i2": "lacks", "i3": "lacks"}
        assert [instance.received_generations for instance in waiting] == [[], [], []]


class DelayedStoreReads:
    """Delays each read of a rollout from the store until the planner has run since the read before.

    Operations on the store run in a separate thread, so the reconcile loop continues meanwhile. It may have
    run before the thread begins to read, and then waits for the store itself.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.was_planned: list[bool] = []  # for each read, whether the planner ran during it
        self._planned = threading.Event()
        self._last_settled_before = change_table.last_settled_before
        monkeypatch.setattr("anisespool.agent.reconciler.next_step", self._plan)
        monkeypatch.setattr(change_table, "last_settled_before", self._read)

    def _plan(self, *arguments: Any) -> RolloutStep:
        step = next_step(*arguments)
        self._planned.set()
        return step

    def _read(self, db: sqlite3.Connection, generation: int) -> Change | None:
        self.was_planned.append(self._planned.wait(DELAYED_READ_TIMEOUT_S))
        self._planned.clear()
        return self._last_settled_before(db, generation)


async def test_a_reconciliation_during_resume_ignores_cleared_rejections(
    harness: AgentHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The reconcile loop runs once more before the resume has read the rollout from the store again."""
    async with harness.agent_with_instances(3) as stub:
        reject_changes(harness.instances["i1"], "invalid value")
        assert (await apply(stub)).state == "paused"
        accept_changes(harness.instances["i1"])
        delayed = DelayedStoreReads(monkeypatch)
        await stub.Steer(pb.SteerRequest(deed=pb.DEED_RESUME, author="t"))
        assert delayed.was_planned == [True]
        await wait_for_statuses(stub, dict.fromkeys(harness.instances, "has"))


async def test_a_rollback_supersedes_a_running_rollout_and_a_late_apply_conflicts(
    harness: AgentHarness,
) -> None:
    async with harness.agent_with_instances(6) as stub:
        instances = harness.instances.values()
        assert (await apply(stub, "{}")).state == "settled"
        first = asyncio.create_task(apply(stub, wave=1, settle_ms=200))
        await wait_until(lambda: any(instance.generation == 2 for instance in instances))
        late = stub.Apply(pb.ApplyRequest(content_json="{}", base_generation=1))
        await assert_call_fails(late, grpc.StatusCode.ABORTED, "generation 2 by t, not 1")
        last = await last_message(stub.Rollback(pb.RollbackRequest(base_generation=2)))
        assert (last.generation, last.state, last.has) == (3, "settled", 6)
        assert (await first).state == "superseded"
        assert sum(2 in instance.applied_generations for instance in instances) < 6


async def test_a_restarted_agent_derives_statuses_from_reports(harness: AgentHarness) -> None:
    await harness.start_instances("a", "b", "c")
    async with harness.agent() as stub:
        harness.instances["b"].faults.max_acknowledged = 0  # "b" applies the change without a response
        await apply(stub)
    harness.instances["c"].stop()
    await harness.start_instances("d")
    harness.instances["b"].faults.max_acknowledged = None
    async with harness.agent() as stub:
        assert (await statuses(stub))["b"] == "has"
        await wait_for_statuses(stub, {"a": "has", "b": "has", "d": "has"})
        assert harness.instances["b"].applied_generations == [1]
    harness.stop_instances()


async def test_an_agent_with_a_new_store_continues_the_generations_of_the_instances(
    harness: AgentHarness, tmp_path: Path
) -> None:
    await harness.start_instances("a", "b")
    async with harness.agent() as stub:
        assert (await apply(stub)).generation == 1
    (tmp_path / "other").mkdir()
    harness.configure(state=str(tmp_path / "other" / "state"))
    async with harness.agent() as stub:
        assert (await apply(stub, "{}")).generation == 2
    harness.stop_instances()


async def test_on_a_full_disk_nothing_is_sent_and_the_error_is_reported(
    harness: AgentHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with harness.agent_with_instances(2) as stub:
        await apply(stub, "{}")
        with monkeypatch.context() as full:

            def fail(*arguments: Any) -> None:
                raise sqlite3.OperationalError("database or disk is full")

            full.setattr("anisespool.agent.store.delivery_table.record_deliveries", fail)
            task = asyncio.create_task(apply(stub))
            while (await stub.Status(pb.StatusRequest())).store == "ok":
                await asyncio.sleep(0.01)
            instances = harness.instances.values()
            assert all(
                instance.generation == 1 and instance.received_generations == [1] for instance in instances
            )
            full.setattr("anisespool.agent.store.change_table.insert_change", fail)
            late = stub.Apply(pb.ApplyRequest(content_json="{}", base_generation=-1))
            await assert_call_fails(late, grpc.StatusCode.UNAVAILABLE, "disk is full")
        assert (await task).state == "settled"  # the disk has space again
