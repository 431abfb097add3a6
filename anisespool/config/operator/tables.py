"""Tables with the keys of the file: TOML or JSON before its validation, or a configuration for output.

`parsing` converts tables to typed sections, and `canonical` sections to tables. Only these two
modules read the keys.
"""

from __future__ import annotations

from typing import Any

Tables = dict[str, Any]
