"""The committed gRPC code matches the proto file."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PROTO = "anisespool/agent/v1/agent.proto"


def test_the_generated_code_is_current(tmp_path: Path) -> None:
    output_options = [f"--{kind}_out={tmp_path}" for kind in ("python", "pyi", "grpc_python")]
    subprocess.run(
        [sys.executable, "-m", "grpc_tools.protoc", "-I.", *output_options, PROTO], cwd=ROOT, check=True
    )
    generated = {path.name: path.read_text() for path in (tmp_path / PROTO).parent.iterdir()}
    assert sorted(generated) == ["agent_pb2.py", "agent_pb2.pyi", "agent_pb2_grpc.py"]
    for name, text in generated.items():
        assert (ROOT / PROTO).parent.joinpath(name).read_text() == text, f"{name}: run make proto"
