PYTHON ?= python3.11
.PHONY: test demo proto

.venv/ready: pyproject.toml
	$(PYTHON) -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

test: .venv/ready
	. .venv/bin/activate && $$(sed -n 's/^    \(ruff check .*pytest.*\)$$/eval \1/p' README.md)

demo: .venv/ready
	.venv/bin/python -m anisespool demo

proto: .venv/ready
	.venv/bin/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpc_python_out=. \
	    anisespool/agent/v1/agent.proto
