"""Tables with the file's keys: parsed TOML or JSON that is not checked yet, or a configuration for output.

`parsing` converts them to typed sections, and `canonical` sections to them; nothing else reads their keys.
"""

from __future__ import annotations

from typing import Any

Tables = dict[str, Any]
