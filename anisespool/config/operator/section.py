"""Base class and types shared by all sections of the operator's file.

`msgspec.field(name=...)` sets a field's key in the file if it differs from the name in the code. Keys never
change, because operators' scripts write them.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=200)]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One table of the file. It is immutable, and an unknown key is an error."""
