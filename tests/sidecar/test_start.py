"""The endpoint list that the first request of a new process uses."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from anisespool.config.platform_loader import load_platform_config
from anisespool.fakes.discovery import DiscoveryService, Outage
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.platform import member
from anisespool.sidecar import Signals, run
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
