#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, after the build of deploy/balancer.toml.
# The stand-ins are Python of the standard library. The cases that start a sidecar with an operator's file, or the
# agent, need the packages that pyproject.toml declares for them; without these they exit with 2.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || exit 1
.venv/bin/python -m compileall -q review/standins-2 || exit 1
if ! .venv/bin/python -c "import grpc, grpc_health, grpc_reflection, msgspec, rich, typer" 2>/dev/null; then
    .venv/bin/python -c "
import tomllib
print('\n'.join(tomllib.load(open('pyproject.toml', 'rb'))['project']['optional-dependencies']['fleet']))
" | xargs .venv/bin/pip -q install --disable-pip-version-check ||
        echo "build-2: the packages of the extra 'fleet' are missing; cases with an operator's file can't run" >&2
fi
exit 0
