"""Checks requests of agent.proto and converts them to the agent's types. Invalid ones raise a CallError."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass

from anisespool.agent.call_errors import (
    InvalidDocumentError,
    InvalidEndpointsError,
    InvalidFieldError,
    TooManyDrainsError,
)
from anisespool.agent.conversion import ACTIONS
from anisespool.agent.desired_state import ChangeDraft
from anisespool.agent.rollout.policy import RolloutPolicy
from anisespool.agent.rollout.state import RolloutAction
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.config import operator
from anisespool.config.platform import ConfigError

MAX_TEXT_CHARACTERS = 200  # longer authors and notes are truncated, longer endpoint ids rejected


@dataclass(frozen=True, slots=True)
class ApplyCommand:
    """The document of a valid ApplyRequest, and the draft of its change."""

    document: operator.LiveConfig
    draft: ChangeDraft


def parse_apply(request: pb.ApplyRequest) -> ApplyCommand:
    """Return the document and the draft of its change, with the limits of the rollout.

    Raises:
        InvalidDocumentError: the document can't be applied as a live change.
        InvalidFieldError: a limit is negative.
    """
    try:
        document = operator.parse_live_config(json.loads(request.content_json or "{}"), "document")
    except (ConfigError, ValueError, RecursionError) as error:
        raise InvalidDocumentError(str(error)) from None
    if min(request.wave, request.first_wave, request.most_refused, request.settle_ms) < 0:
        raise InvalidFieldError("wave, first_wave, most_refused, settle_ms", "0 or more")
    draft = ChangeDraft(
        content=operator.canonical_json(document).decode(),
        digest=operator.digest(document),
        author=truncate_text(request.author),
        note=truncate_text(request.note),
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


def parse_action(request: pb.SteerRequest) -> RolloutAction:
    """Return the action of a SteerRequest.

    Raises:
        InvalidFieldError: the request names no action.
    """
    action = ACTIONS.get(request.deed)
    if action is None:
        raise InvalidFieldError("deed", "pause, resume or abort")
    return action


def check_drain(request: pb.DrainRequest) -> None:
    """Check the ids of a DrainRequest.

    Raises:
        InvalidEndpointsError: there is no id, or one is empty or too long.
    """
    endpoints = [*request.drain, *request.undrain]
    if not endpoints or any(not 0 < len(endpoint) <= MAX_TEXT_CHARACTERS for endpoint in endpoints):
        raise InvalidEndpointsError


def drained_after(request: pb.DrainRequest, current: Sequence[str]) -> list[str]:
    """Return the endpoints that would be drained after a DrainRequest, sorted.

    Raises:
        TooManyDrainsError: there would be too many.
    """
    drained = set(current) - set(request.undrain) | set(request.drain)
    if len(drained) > operator.MAX_DRAINED_ENDPOINTS:
        raise TooManyDrainsError(operator.MAX_DRAINED_ENDPOINTS)
    return sorted(drained)


def truncate_text(text: str) -> str:
    """Truncate an author or note to the length that is stored."""
    return text[:MAX_TEXT_CHARACTERS]
