"""Commands that change the fleet: configuration changes and their rollout, drains, retirement.

The docstring of a command is its `--help` text.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import typer

from anisespool.agent.rollout.state import DRY_RUN_STATE, RolloutState
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.cli import output, rollout_progress
from anisespool.cli.agent_client import CALL_TIMEOUT_S, author, connect_to_agent
from anisespool.cli.arguments import (
    AsJson,
    BaseGeneration,
    ChangeFile,
    ConfigPath,
    DryRun,
    EndpointIds,
    FirstWaveSize,
    ForceChange,
    ForceDrain,
    InstanceName,
    MaxRejected,
    MaxUnreachable,
    Note,
    SettleSeconds,
    WaveSize,
)
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.option_groups import expand_option_groups
from anisespool.config import operator
from anisespool.config.platform import ConfigError

NEWEST_GENERATION = -1  # value of --base for the generation that is newest when the command runs
UNLIMITED = -1
STANDARD_INPUT = Path("-")
# Values of `Progress.state` in agent.proto; a newer agent may send others.
COMPLETED_STATES = frozenset((RolloutState.SETTLED.value, DRY_RUN_STATE))
STOPPED_STATES = frozenset((RolloutState.PAUSED.value, RolloutState.SUPERSEDED.value))


@dataclass(frozen=True, slots=True)
class RolloutOptions:
    """Options of a rollout: its waves, the limits that pause it, and the generation it is based on."""

    wave_size: WaveSize = 0
    first_wave_size: FirstWaveSize = 0
    settle_s: SettleSeconds = 0.0
    max_rejected: MaxRejected = 0
    max_unreachable: MaxUnreachable = UNLIMITED
    base_generation: BaseGeneration = NEWEST_GENERATION
    force: ForceChange = False
    dry_run: DryRun = False
    note: Note = ""


@expand_option_groups
def apply_change(
    file: ChangeFile, *, config: ConfigPath = None, rollout: RolloutOptions, as_json: AsJson = False
) -> None:
    """Roll out a new generation of the configuration to all instances, in waves."""
    document = _read_live_config(file)
    with connect_to_agent(config) as stub:
        has_base = rollout.base_generation > NEWEST_GENERATION
        base_generation = rollout.base_generation if has_base else _newest_generation(stub)
        request = _apply_request(rollout, base_generation, document, note=rollout.note or file.name)
        last = _follow(stub.Apply(request), as_json)
    raise typer.Exit(_rollout_exit_status(last))


def roll_back(config: ConfigPath = None, wave_size: WaveSize = 0, as_json: AsJson = False) -> None:
    """Restore the content of the last settled generation before the newest one, as a new generation."""
    with connect_to_agent(config) as stub:
        base_generation = _newest_generation(stub)
        request = pb.RollbackRequest(base_generation=base_generation, author=author(), wave=wave_size)
        last = _follow(stub.Rollback(request), as_json)
    raise typer.Exit(_rollout_exit_status(last))


def pause_rollout(config: ConfigPath = None, as_json: AsJson = False) -> None:
    """Pause the rollout of the newest change until `resume`."""
    _control_rollout(pb.DEED_PAUSE, config, as_json)


def resume_rollout(config: ConfigPath = None, as_json: AsJson = False) -> None:
    """Continue a paused rollout, and send the change again to instances that rejected it."""
    _control_rollout(pb.DEED_RESUME, config, as_json)


def abort_rollout(config: ConfigPath = None, as_json: AsJson = False) -> None:
    """End the rollout of the newest change. Instances that have applied it keep it until `rollback`."""
    _control_rollout(pb.DEED_ABORT, config, as_json)


def drain_endpoints(
    endpoints: EndpointIds,
    config: ConfigPath = None,
    instance: InstanceName = "",
    force: ForceDrain = False,
    as_json: AsJson = False,
) -> None:
    """Stop sending requests to these endpoints, at every instance, until `undrain`. Open requests finish."""
    request = pb.DrainRequest(drain=endpoints, force=force, instance=instance, author=author())
    _change_drains(request, config, as_json)


def undrain_endpoints(
    endpoints: EndpointIds, config: ConfigPath = None, instance: InstanceName = "", as_json: AsJson = False
) -> None:
    """Use these endpoints again where discovery lists them as ready."""
    request = pb.DrainRequest(undrain=endpoints, instance=instance, author=author())
    _change_drains(request, config, as_json)


def retire_instances(names: list[str], config: ConfigPath = None, as_json: AsJson = False) -> None:
    """Shut instances down as SIGTERM does: they accept no new requests, finish open ones, and exit."""
    with connect_to_agent(config) as stub:
        reply = stub.Retire(pb.RetireRequest(names=names), timeout=CALL_TIMEOUT_S)
    if as_json:
        output.print_json(output.message_to_dict(reply))
    else:
        output.console.print(f"shutting down: {', '.join(reply.retired) or 'none'}", markup=False)
        output.print_warnings(reply.trouble)
    if reply.trouble:
        raise typer.Exit(ExitStatus.PARTIAL if reply.retired else ExitStatus.FAILED)


def _read_live_config(file: Path) -> operator.LiveConfig:
    """Read and check a change document; `-` is standard input."""
    try:
        data = _read_standard_input() if file == STANDARD_INPUT else file.read_bytes()
        tables = operator.parse_toml(data, str(file))
        return operator.parse_live_config(tables, str(file))
    except OSError as error:
        raise CommandError(ExitStatus.USAGE_ERROR, f"{file}: {error.strerror}") from None
    except ConfigError as error:
        raise CommandError(ExitStatus.USAGE_ERROR, str(error)) from None


def _read_standard_input() -> bytes:
    # One byte more than the limit, so that the parser detects a document that is too long.
    return sys.stdin.buffer.read(operator.MAX_DOCUMENT_BYTES + 1)


def _apply_request(
    rollout: RolloutOptions, base_generation: int, document: operator.LiveConfig, note: str
) -> pb.ApplyRequest:
    return pb.ApplyRequest(
        content_json=json.dumps(operator.to_tables(document)),
        base_generation=base_generation,
        author=author(),
        note=note,
        wave=rollout.wave_size,
        first_wave=rollout.first_wave_size,
        most_refused=rollout.max_rejected,
        most_unreachable=rollout.max_unreachable,
        settle_ms=int(rollout.settle_s * output.MS_PER_S),
        force=rollout.force,
        dry_run=rollout.dry_run,
    )


def _newest_generation(stub: Any) -> int:
    return int(stub.Status(pb.StatusRequest(), timeout=CALL_TIMEOUT_S).change.generation)


def _follow(updates: Iterable[pb.Progress], as_json: bool) -> pb.Progress:
    try:
        return rollout_progress.follow(updates, as_json)
    except KeyboardInterrupt:
        text = "interrupted, but the rollout continues: see anisespool status"
        raise CommandError(ExitStatus.PARTIAL, text) from None


def _rollout_exit_status(last: pb.Progress) -> ExitStatus:
    """Return the exit status for the last reported progress of a rollout."""
    completed = last.state in COMPLETED_STATES
    if completed and last.has == last.total:
        return ExitStatus.SUCCESS
    if last.has and (completed or last.state in STOPPED_STATES):
        return ExitStatus.PARTIAL
    return ExitStatus.FAILED


def _control_rollout(action: pb.Deed, config: Path | None, as_json: bool) -> None:
    """Pause, resume or abort the rollout of the newest change."""
    with connect_to_agent(config) as stub:
        request = pb.SteerRequest(deed=action, author=author())
        progress = stub.Steer(request, timeout=CALL_TIMEOUT_S)
    if as_json:
        output.print_json(output.message_to_dict(progress))
    else:
        output.console.print(rollout_progress.summary(progress))


def _change_drains(request: pb.DrainRequest, config: Path | None, as_json: bool) -> None:
    last = pb.DrainProgress()
    with connect_to_agent(config) as stub:
        for last in stub.Drain(request, timeout=CALL_TIMEOUT_S):
            if as_json:
                output.print_json(output.message_to_dict(last))
    if not as_json:
        names = ", ".join(last.drains) or "none"
        text = f"drained now: {names}; confirmed by {last.told} of {last.total} instances"
        output.console.print(text, markup=False)
        output.print_warnings(last.trouble)
    raise typer.Exit(ExitStatus.SUCCESS if last.told == last.total else ExitStatus.PARTIAL)
