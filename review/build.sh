#!/bin/sh
# Prepares what the cases start, after the build of deploy/balancer.toml: the stand-ins are Python files of this
# folder, without a dependency.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q anisespool review
