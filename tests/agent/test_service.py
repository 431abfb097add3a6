"""The agent's gRPC service: drains, the control directory, request checks, bounds, TLS and startup errors."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import grpc
import pytest
import trustme
from grpc_health.v1 import health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection_pb2, reflection_pb2_grpc

from anisespool.agent import events, grpc_server, main
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.agent.v1 import agent_pb2_grpc
from anisespool.config import operator
from anisespool.config.platform import ConfigError
from anisespool.fakes import platform
from tests.agent.harness import (
    AgentHarness,
    apply,
    assert_call_fails,
    last_message,
    reachabilities,
    wait_until_all_answer,
)
from tests.harness.waiting import wait_until

FAILED_PRECONDITION = grpc.StatusCode.FAILED_PRECONDITION
INVALID_ARGUMENT = grpc.StatusCode.INVALID_ARGUMENT
NOT_FOUND = grpc.StatusCode.NOT_FOUND
RESOURCE_EXHAUSTED = grpc.StatusCode.RESOURCE_EXHAUSTED


async def test_a_drain_reaches_all_instances_and_needs_force_for_the_last_endpoint(
    harness: AgentHarness,
) -> None:
    async with harness.agent_with_instances(3) as stub:
        await wait_until_all_answer(stub, 3)  # only reachable instances check a drain
        instances = harness.instances
        instances["i1"].endpoints = ["s-1", "s-2"]  # fewer than the other instances have
        drain_all = stub.Drain(pb.DrainRequest(drain=["s-1", "s-2"]))
        text = "i1: it would leave no endpoint; add force"
        await assert_call_fails(drain_all, FAILED_PRECONDITION, text)
        assert [instance.drained for instance in instances.values()] == [[]] * 3
        instances["i2"].faults.is_silent = True
        last = await last_message(stub.Drain(pb.DrainRequest(drain=["s-1", "s-2"], force=True)))
        assert (last.settled, last.told, last.unreachable, last.total) == (True, 2, 1, 3)
        instances["i2"].faults.is_silent = False
        await wait_until(lambda: instances["i2"].drained == ["s-1", "s-2"])
        await instances["i0"].restart()
        await wait_until(lambda: instances["i0"].drained == ["s-1", "s-2"])
        await last_message(stub.Drain(pb.DrainRequest(undrain=["s-2"])))
        assert [instance.drained for instance in instances.values()] == [["s-1"]] * 3


async def test_a_drain_outlasts_the_loss_of_the_store(harness: AgentHarness) -> None:
    """review/10: with an empty store the next drain replaced the set that the instances had."""
    await harness.start_instances("i0", "i1")
    instances = harness.instances
    async with harness.agent() as stub:
        await last_message(stub.Drain(pb.DrainRequest(drain=["s-1"])))
    assert harness.config.agent
    for path in Path(harness.config.agent.state_directory).glob("agent.db*"):
        path.rename(path.with_name(f"lost-{path.name}"))
    async with harness.agent() as stub:
        last = await last_message(stub.Drain(pb.DrainRequest(drain=["s-2"])))
        assert list(last.drains) == ["s-1", "s-2"]
        await wait_until(lambda: all(one.drained == ["s-1", "s-2"] for one in instances.values()))
        await harness.start_instances("i2")  # A new instance gets the drains, too.
        await wait_until(lambda: instances["i2"].drained == ["s-1", "s-2"])
        await last_message(stub.Drain(pb.DrainRequest(undrain=["s-1"])))
        await wait_until(lambda: all(one.drained == ["s-2"] for one in instances.values()))
    harness.stop_instances()


async def test_the_store_takes_over_reported_drains_without_a_command(harness: AgentHarness) -> None:
    """An instance that starts after the loss of the store would not drain what the others do."""
    await harness.start_instances("i0")
    harness.instances["i0"].drained = ["s-1"]
    harness.instances["i0"].drains_revision = 7
    async with harness.agent() as stub:
        await harness.start_instances("i1")
        await wait_until(lambda: harness.instances["i1"].drained == ["s-1"])
        assert list((await stub.Status(pb.StatusRequest())).drains) == ["s-1"]
    harness.stop_instances()


async def test_other_entries_of_the_control_directory_are_ignored(harness: AgentHarness) -> None:
    harness.configure(most_instances=30)
    await harness.start_instances("good")
    directory = harness.control_directory
    for name in ("dead.sock", "..odd.sock"):
        with socket.socket(socket.AF_UNIX) as dead:
            dead.bind(str(directory / name))
    (directory / "plain.sock").write_text("not a socket")
    (directory / "link.sock").symlink_to(directory / "good.sock")
    (directory / "folder.sock").mkdir()
    async with harness.agent() as stub:
        assert await reachabilities(stub) == {"good": pb.REACH_ANSWERS, "dead": pb.REACH_GONE}
        assert (await apply(stub)).total == 1  # a socket without a listener is no target
        for number in range(2000):
            (directory / f"n{number}.lock").write_text("")
        await harness.start_instances(*(f"z{number:03}" for number in range(40)))
        while len(await reachabilities(stub)) != 30:
            await asyncio.sleep(0.02)
    harness.stop_instances()


INVALID_REQUESTS = {
    "apply invalid JSON": ("Apply", pb.ApplyRequest(content_json="{"), INVALID_ARGUMENT, "Expecting"),
    "apply another section": (
        "Apply",
        pb.ApplyRequest(content_json='{"control":{}}'),
        INVALID_ARGUMENT,
        "control: found in a live change",
    ),
    "apply a negative wave": ("Apply", pb.ApplyRequest(wave=-1), INVALID_ARGUMENT, "wave"),
    "steer without an action": ("Steer", pb.SteerRequest(), INVALID_ARGUMENT, "deed"),
    "inspect an unknown instance": ("Inspect", pb.InspectRequest(name="nobody"), NOT_FOUND, "'nobody'"),
    "status of an unknown generation": ("Status", pb.StatusRequest(generation=9), NOT_FOUND, "generation 9"),
    "rollback without a change": ("Rollback", pb.RollbackRequest(), FAILED_PRECONDITION, "nothing was ever"),
    "drain without an endpoint": ("Drain", pb.DrainRequest(), INVALID_ARGUMENT, "ids"),
    "drain too many endpoints": (
        "Drain",
        pb.DrainRequest(drain=[f"e{number}" for number in range(1001)], force=True),
        RESOURCE_EXHAUSTED,
        "1000",
    ),
}


@pytest.mark.parametrize(
    ("method", "request_message", "code", "text"), INVALID_REQUESTS.values(), ids=list(INVALID_REQUESTS)
)
async def test_an_invalid_request_fails_with_its_status_and_changes_nothing(
    harness: AgentHarness, method: str, request_message: Any, code: grpc.StatusCode, text: str
) -> None:
    async with harness.agent_with_instances(1) as stub:
        await assert_call_fails(getattr(stub, method)(request_message), code, text)
        reply = await stub.Status(pb.StatusRequest())
        assert (reply.change.generation, list(reply.drains)) == (0, [])
        assert harness.instances["i0"].received_generations == []


async def test_a_dry_run_validates_the_change_and_applies_it_nowhere(harness: AgentHarness) -> None:
    async with harness.agent_with_instances(1) as stub:
        assert (await apply(stub, dry_run=True)).has == 1
        assert harness.instances["i0"].received_generations == []


async def test_the_number_of_watchers_is_bounded_and_each_receives_events(harness: AgentHarness) -> None:
    harness.configure(most_watchers=2)
    async with harness.agent_with_instances(1) as stub:
        watches = [stub.Watch(pb.WatchRequest()) for _ in range(2)]
        first_events = [asyncio.create_task(watch.read()) for watch in watches]
        await asyncio.sleep(0.1)
        third = stub.Watch(pb.WatchRequest())
        await assert_call_fails(third, RESOURCE_EXHAUSTED, "2 watch already")
        await apply(stub)
        assert [(await event).kind for event in first_events] == ["change", "change"]
        with contextlib.suppress(asyncio.CancelledError):
            for watch in watches:
                watch.cancel()


def test_a_watcher_that_does_not_read_is_dropped() -> None:
    broadcaster = events.EventBroadcaster(4)
    with broadcaster.subscribe() as queue:
        for number in range(events.MAX_QUEUED_EVENTS + 5):
            broadcaster.publish(events.EventKind.CHANGE, str(number), "")
        assert not broadcaster.queues
        assert queue.qsize() == events.MAX_QUEUED_EVENTS
        assert [queue.get_nowait() for _ in range(events.MAX_QUEUED_EVENTS)][-1] is None


@dataclass(frozen=True, slots=True)
class TlsSetup:
    """An agent's address and options for mutual TLS, and the credentials of clients."""

    address: str
    agent_options: dict[str, str]
    with_certificate: Any
    without_certificate: Any


@pytest.fixture
def tls(tmp_path: Path) -> Iterator[TlsSetup]:
    authority = trustme.CA()
    server = authority.issue_cert("127.0.0.1")
    client = authority.issue_cert("operator")
    authority.cert_pem.write_to_path(tmp_path / "ca")
    server.private_key_pem.write_to_path(tmp_path / "key")
    server.cert_chain_pems[0].write_to_path(tmp_path / "cert")
    root = authority.cert_pem.bytes()
    with platform.reserve_port() as reserved:
        address = "{}:{}".format(*reserved.getsockname())
        yield TlsSetup(
            address=address,
            agent_options={
                "tcp": address,
                "clients_ca": str(tmp_path / "ca"),
                "certificate": str(tmp_path / "cert"),
                "key": str(tmp_path / "key"),
            },
            with_certificate=grpc.ssl_channel_credentials(
                root, client.private_key_pem.bytes(), client.cert_chain_pems[0].bytes()
            ),
            without_certificate=grpc.ssl_channel_credentials(root),
        )


async def test_tcp_requires_a_client_certificate(harness: AgentHarness, tls: TlsSetup) -> None:
    harness.configure(**tls.agent_options)
    async with harness.agent_with_instances(1):
        async with grpc.aio.secure_channel(tls.address, tls.without_certificate) as channel:
            call = agent_pb2_grpc.AgentStub(channel).Status(pb.StatusRequest(), timeout=5)
            await assert_call_fails(call, grpc.StatusCode.UNAVAILABLE, "")
        async with grpc.aio.secure_channel(tls.address, tls.with_certificate) as channel:
            stub = agent_pb2_grpc.AgentStub(channel)
            assert (await stub.Status(pb.StatusRequest())).store == "ok"


async def test_tcp_serves_health_and_reflection(harness: AgentHarness, tls: TlsSetup) -> None:
    harness.configure(**tls.agent_options)
    async with (
        harness.agent_with_instances(1),
        grpc.aio.secure_channel(tls.address, tls.with_certificate) as channel,
    ):
        health = health_pb2_grpc.HealthStub(channel)
        response = await health.Check(health_pb2.HealthCheckRequest(service=grpc_server.SERVICE_NAME))
        assert response.status == health_pb2.HealthCheckResponse.SERVING
        listing = reflection_pb2.ServerReflectionRequest(list_services="")
        stream = reflection_pb2_grpc.ServerReflectionStub(channel).ServerReflectionInfo(iter([listing]))
        names = [service.name async for reply in stream for service in reply.list_services_response.service]
        assert grpc_server.SERVICE_NAME in names


async def test_an_agent_does_not_start_beside_another_or_without_its_section(harness: AgentHarness) -> None:
    async with harness.agent():
        with pytest.raises(ConfigError, match="another agent is running"):
            await main.serve(harness.config)
    with pytest.raises(ConfigError, match=r"wanted \[agent\]"):
        await main.serve(operator.OperatorConfig())
