"""The README's examples run as printed."""

from __future__ import annotations

import re
from pathlib import Path


def test_the_readmes_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
