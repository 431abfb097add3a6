"""The sidecar's process: signals, standard error and exit status."""

from __future__ import annotations

import asyncio
import os
import sys
from enum import IntEnum
from typing import TYPE_CHECKING, TextIO, cast

from anisespool.config.platform import ConfigError
from anisespool.config.platform_loader import load_platform_config
from anisespool.sidecar.composition import run
from anisespool.sidecar.process_signals import Signals, block_signals
from anisespool.sidecar.stderr_log import NonBlockingStderr

if TYPE_CHECKING:
    from anisespool.config.operator import OperatorConfig


class ExitStatus(IntEnum):
    """Of the process, for the platform."""

    OK = 0
    BAD_CONFIG = 2
    """The platform's or the operator's configuration can't be used; standard error has the reason."""


def main(operator_config_path: str | None = None) -> int:
    """Run the sidecar as the environment configures it, until SIGTERM.

    Args:
        operator_config_path: The operator's file; without one nothing that it could switch on is imported.

    Returns:
        An `ExitStatus`.
    """
    sys.stderr = cast(TextIO, NonBlockingStderr(sys.stderr))
    try:
        asyncio.run(_run_until_signalled(operator_config_path))
    except ConfigError as error:
        print(f"anisespool: {error}", file=sys.stderr)
        return ExitStatus.BAD_CONFIG
    return ExitStatus.OK


async def _run_until_signalled(operator_config_path: str | None) -> None:
    signals = Signals()
    signals.install()
    try:
        operator_config = _read_operator_config(operator_config_path) if operator_config_path else None
        config = load_platform_config(os.environ)
        await run(config, signals, lambda address: None, operator_config)
    finally:
        block_signals()


def _read_operator_config(path: str) -> OperatorConfig:
    from anisespool.config.operator import read_operator_config

    return read_operator_config(path)
