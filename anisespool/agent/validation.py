"""Checks of the requests of agent.proto: each returns a typed command, or raises a CallError."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass

from anisespool.agent.call_errors import InvalidRequestError, LimitExceededError
from anisespool.agent.conversion import ACTIONS
from anisespool.agent.desired_state import ChangeDraft
from anisespool.agent.rollout.policy import RolloutPolicy
from anisespool.agent.rollout.state import RolloutAction
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.config import operator
from anisespool.config.platform import ConfigError

MAX_NAME_CHARACTERS = 200
MAX_ERROR_CHARACTERS = 500


@dataclass(frozen=True, slots=True)
class ApplyCommand:
    """A checked ApplyRequest."""

    document: operator.LiveConfig
    draft: ChangeDraft


def check_apply(request: pb.ApplyRequest) -> ApplyCommand:
    """Read the document and the bounds of the rollout.

    Raises:
        InvalidRequestError: the document is not one that can change live, or a bound is negative.
    """
    try:
        document = operator.parse_live_config(json.loads(request.content_json or "{}"), "document")
    except (ConfigError, ValueError, RecursionError) as error:
        raise InvalidRequestError(str(error)[:MAX_ERROR_CHARACTERS]) from None
    if min(request.wave, request.first_wave, request.most_refused, request.settle_ms) < 0:
        raise InvalidRequestError("wave, first_wave, most_refused, settle_ms: wanted 0 or more")
    draft = ChangeDraft(
        content=operator.canonical_json(document).decode(),
        digest=operator.digest(document),
        author=bounded_name(request.author),
        note=bounded_name(request.note),
        policy=RolloutPolicy(
            wave_size=request.wave,
            first_wave_size=request.first_wave,
            max_rejected=request.most_refused,
            max_unreachable=request.most_unreachable,
            force=request.force,
        ),
        settle_ms=request.settle_ms,
    )
    return ApplyCommand(document, draft)


def check_action(request: pb.SteerRequest) -> RolloutAction:
    """The action of a SteerRequest.

    Raises:
        InvalidRequestError: it names none.
    """
    action = ACTIONS.get(request.deed)
    if action is None:
        raise InvalidRequestError("deed: wanted pause, resume or abort")
    return action


def check_drain(request: pb.DrainRequest) -> None:
    """Check the ids of a DrainRequest.

    Raises:
        InvalidRequestError: there are none, or one is empty or too long.
    """
    endpoints = [*request.drain, *request.undrain]
    if not endpoints or any(not 0 < len(endpoint) <= MAX_NAME_CHARACTERS for endpoint in endpoints):
        raise InvalidRequestError("wanted endpoints' ids to drain or undrain")


def check_drained_count(request: pb.DrainRequest, current: Sequence[str]) -> list[str]:
    """The endpoints that would be drained after a DrainRequest, sorted.

    Raises:
        LimitExceededError: they would be too many.
    """
    drained = set(current) - set(request.undrain) | set(request.drain)
    if len(drained) > operator.MAX_DRAINED_ENDPOINTS:
        raise LimitExceededError(f"at most {operator.MAX_DRAINED_ENDPOINTS} endpoints are drained at a time")
    return sorted(drained)


def bounded_name(text: str) -> str:
    """An author or note, cut to the length that is stored."""
    return text[:MAX_NAME_CHARACTERS]
