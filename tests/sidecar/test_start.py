"""The endpoint list that the first request of a new process uses."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from anisespool.config.platform_loader import load_platform_config
from anisespool.fakes.discovery import DiscoveryService, Outage, ScriptedDiscovery
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.platform import member
from anisespool.sidecar import Signals, run
from tests.harness import deploy_file
from tests.harness.client import request_bytes, send_request
from tests.harness.platform_config import write_config
from tests.harness.waiting import wait_until
from tests.support import MS, SECOND


@pytest.mark.parametrize("discovery_behavior", ["responds", "silent", "resets"])
async def test_the_first_request_uses_the_list_of_discovery_or_if_it_fails_the_cached_list(
    tmp_path: Path, listen: str, discovery_behavior: str
) -> None:
    """In push mode, discovery's list counts as delivered from the start of the process. So the sidecar does
    not listen until discovery has responded or failed, or the drain grace period has passed."""
    async with Endpoint().serve() as old, Endpoint().serve() as new:
        discovery = DiscoveryService([member("s-0", old.address, "draining"), member("s-1", new.address)])
        grace_ns = 60 * SECOND if discovery_behavior == "responds" else 50 * MS
        cached = [member("s-0", old.address)]
        env = write_config(tmp_path, discovery.address, cached, listen, guarantees__drain_grace_ns=grace_ns)
        async with discovery.serve():
            discovery.set_outage(Outage.RESET if discovery_behavior == "resets" else Outage.SILENT)
            env["LB_DISCOVERY"] = "{}:{}".format(*discovery.address)
            config = load_platform_config(env)
            listening = asyncio.get_running_loop().create_future()
            task = asyncio.create_task(run(config, Signals(), listening.set_result))
            if discovery_behavior == "responds":
                await wait_until(lambda: discovery.watch_requests == 1)
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection(*config.listen)
                assert not listening.done()
                discovery.set_outage(Outage.NONE)
            address = await listening
            assert (await send_request(address, request_bytes("once"))).status == 200
            assert (len(old.requests), len(new.requests)) == (
                (0, 1) if discovery_behavior == "responds" else (1, 0)
            )
            discovery.set_outage(Outage.NONE)
            task.cancel()


# Runs the program, which gets a SIGHUP when it begins to import the sidecar.
PROGRAM_WITH_EARLY_SIGHUP = """
import os, signal, sys

class EarlySighup:
    def find_spec(self, name, path, target=None):
        if name == "anisespool.sidecar":
            os.kill(os.getpid(), signal.SIGHUP)

signal.signal(signal.SIGHUP, signal.{disposition})
sys.meta_path.insert(0, EarlySighup())
sys.argv = ["anisespool"]
from anisespool.__main__ import main
sys.exit(main())
"""


@pytest.mark.parametrize("disposition", [signal.SIG_DFL, signal.SIG_IGN])
async def test_a_sighup_before_the_handlers_are_installed_reloads_the_configuration(
    tmp_path: Path, listen: str, disposition: signal.Handlers
) -> None:
    """It killed a process that had just been started; by the deploy file's command it is ignored at first."""
    old_discovery = ScriptedDiscovery()
    new_discovery = ScriptedDiscovery()
    async with old_discovery.serve(), new_discovery.serve():
        env = write_config(tmp_path, new_discovery.address, [], listen)
        env["LB_DISCOVERY"] = "{}:{}".format(*old_discovery.address)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            PROGRAM_WITH_EARLY_SIGHUP.format(disposition=disposition.name),
            env=os.environ | env,
        )
        await wait_until(lambda: bool(new_discovery.connections) or process.returncode is not None)
        assert process.returncode is None
        process.terminate()
        assert await process.wait() == 0


async def test_a_sighup_while_the_interpreter_starts_does_not_end_the_process(
    tmp_path: Path, listen: str
) -> None:
    """It killed a process whose program had not begun to run (soak seed 523)."""
    discovery = ScriptedDiscovery()
    interpreter = Path(sys.executable).resolve()
    async with discovery.serve():
        env = write_config(tmp_path, discovery.address, [], listen)
        process = await asyncio.create_subprocess_exec(
            *deploy_file.run_command(), env=os.environ | env, cwd=deploy_file.ROOT
        )
        while Path(f"/proc/{process.pid}/exe").resolve() != interpreter:
            await asyncio.sleep(0)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: bool(discovery.connections) or process.returncode is not None)
        assert process.returncode is None
        process.terminate()
        assert await process.wait() == 0
