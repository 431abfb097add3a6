#!/bin/sh
# Prepares what the cases start, after the build of deploy/balancer.toml: the stand-ins are Python files of this
# folder, and case 2 starts a sidecar with an operator's file, which needs the project's own extra `operator`.
set -e
cd "$(dirname "$0")/.."
operator=$(.venv/bin/python -c '
import tomllib
print(*tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]["operator"])')
.venv/bin/python -c 'import msgspec' 2>/dev/null || .venv/bin/pip -q install $operator
.venv/bin/python -m compileall -q anisespool review
