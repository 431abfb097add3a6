"""The process of a sidecar: signals, standard error and exit status."""

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
    """Exit status of the process, which the platform reads."""

    OK = 0
    BAD_CONFIG = 2
    """The configuration of the platform or of the operator can't be used; standard error has the reason."""


def main(operator_config_path: str | None = None) -> int:
    """Run the sidecar as configured by the environment, until SIGTERM or SIGINT.

    Args:
        operator_config_path: Path of the operator's file. Without one, no optional feature is imported.

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
