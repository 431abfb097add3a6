"""What all tables of a scenario share: units, types of bounded numbers, the base class and the error."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MS = 1_000_000  # nanoseconds in a millisecond
SECOND = 1_000_000_000  # nanoseconds in a second

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Zone = Annotated[int, Meta(ge=0, le=31)]
Index = Annotated[int, Meta(ge=0)]
Range = tuple[float, float]  # minimum and maximum


class ScenarioError(ValueError):
    """A scenario is wrong. The text is one line: the file, the key, what was found and what was wanted."""


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of a scenario. Unknown keys are errors."""
