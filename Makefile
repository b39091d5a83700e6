PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint wire

setup: .venv/.installed

.venv/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/bendshed rehearse demo
	$(BIN)/bendshed rehearse site-demo

lint: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy
	$(BIN)/lint-imports

test: lint
	PYTHONHASHSEED=0 $(BIN)/python tests/run.py

# Regenerates the committed protobuf code; tests/test_wire.py shows that it is current.
wire: setup
	$(BIN)/python -m grpc_tools.protoc -Isrc --plugin=protoc-gen-mypy=$(BIN)/protoc-gen-mypy \
	    --python_out=src --mypy_out=src src/bendshed/wire/*.proto
