"""What all sections of the operator's file have in common.

`msgspec.field(name=...)` gives a field's key in the file where it differs from its name in the code:
operators' scripts write the keys, so they never change.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=200)]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One table of the file: immutable, and a key that nothing reads is an error."""
