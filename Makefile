PYTHON ?= python3
.PHONY: test demo proto
.DEFAULT_GOAL := test

.venv/ready: pyproject.toml
	$(PYTHON) -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

# The README's test command, word for word, as CI reads it.
test: .venv/ready
	. .venv/bin/activate && eval "$$(sed -n 's/^    \(ruff check .*pytest.*\)$$/\1/p' README.md)"

demo: .venv/ready
	.venv/bin/python -m anisespool demo

proto: .venv/ready
	.venv/bin/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpc_python_out=. \
	    anisespool/agent/v1/agent.proto
