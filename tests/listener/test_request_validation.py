"""Request classes and tenants are those of the sidecar's own configuration."""

from __future__ import annotations

import asyncio
from pathlib import Path
from urllib.parse import quote

from anisespool.codec.http1 import Request
from anisespool.config.platform import Address, PlatformConfig
from anisespool.config.platform_loader import load_platform_config
from anisespool.fakes import platform
from anisespool.fakes.discovery import DiscoveryService
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.platform import member
from anisespool.listener.request import validate_request
from anisespool.sidecar import Signals, run
from tests.harness.client import new_trace_id, send_request
from tests.harness.platform_config import platform_settings

KEY = "Idempotency-Key: k\r\n"
FITTING_REQUESTS = [("GET", ""), ("POST", KEY), ("POST", "")]  # method and headers for each class, in order


async def assert_only_fitting_requests_are_served(address: Address, classes: tuple[str, ...]) -> None:
    for name, fits in zip(classes, FITTING_REQUESTS, strict=True):
        percent_encoded = quote(name, safe="")
        for text in (percent_encoded, percent_encoded.lower()):
            for method, key in FITTING_REQUESTS:
                data = f"{method} /{text}/7 HTTP/1.1\r\nX-Trace-Id: {new_trace_id()}\r\n{key}\r\n"
                status = (await send_request(address, data.encode())).status
                case = f"{classes}, {name}: {method} {text} {key} {status}"
                assert (status == 200) is ((method, key) == fits), case


def tenant_index(config: PlatformConfig, request_class: str, tenant: str) -> int:
    headers = {b"x-trace-id": b"t", b"x-customer": tenant.encode()}
    request = Request(b"GET", f"/{quote(request_class, safe='')}".encode(), headers, b"", True)
    return validate_request(request, config.names, config.settings).tenant


async def test_two_configurations_in_one_process_are_isolated(tmp_path: Path) -> None:
    """The same class names, some beyond ASCII, have different idempotency in the two configurations."""
    class_names = [("look", "envío urgente", "a/b"), ("a/b", "look", "envío urgente")]
    async with (
        Endpoint().serve() as endpoint,
        DiscoveryService([member("s-0", endpoint.address)]).serve() as discovery,
    ):
        for number, classes in enumerate(class_names):
            raw = platform_settings()
            for row, name in zip(raw["request-classes"], classes, strict=True):
                row["name"] = name
            raw["tenants"] = [{"name": f"café {number}", "share": 1.0, "quota-per-s": 1.0}]
            config = load_platform_config(platform.write_config(tmp_path, discovery.address, [], raw))
            listening = asyncio.get_running_loop().create_future()
            task = asyncio.create_task(run(config, Signals(), listening.set_result))
            await assert_only_fitting_requests_are_served(await listening, classes)
            assert tenant_index(config, classes[0], f"café {number}") == 0
            assert tenant_index(config, classes[0], f"café {1 - number}") == 1  # an unknown tenant
            task.cancel()
