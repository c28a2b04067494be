# Each target sets up the environment that it needs.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 0
STEPS ?= 40
EXAMPLES ?= 100

.PHONY: demo test fuzz fuzz-sockets mutants bench slopes targets binary proto clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/cicadapier demo

test: $(VENV)/.ready binary
	$(BIN)/ruff format --check --quiet src tests tools
	$(BIN)/ruff check --quiet src tests tools
	$(BIN)/mypy
	$(BIN)/python tools/check_layers.py
	$(BIN)/python tools/check_boundary.py
	$(BIN)/python tools/check_zeros.py
	$(BIN)/python tools/run_tests.py

fuzz: $(VENV)/.ready
	FUZZ_SEED=$(SEED) FUZZ_STEPS=$(STEPS) FUZZ_EXAMPLES=$(EXAMPLES) FUZZ_SHRINK=1 \
	  $(BIN)/python tools/run_tests.py "test_*fuzz.py"

fuzz-sockets: $(VENV)/.ready
	$(BIN)/python -m tests.sockets_fuzz $(SEED)

mutants: $(VENV)/.ready
	$(BIN)/python -m tests.mutants

bench: $(VENV)/.ready
	$(BIN)/cicadapier bench

slopes: $(VENV)/.ready
	$(BIN)/cicadapier slopes

targets: $(VENV)/.ready
	$(BIN)/cicadapier targets

binary: dist/cicadapier

dist/cicadapier: $(VENV)/.ready $(shell find src -name '*.py')
	rm -rf build  # A stale build directory would add removed modules to the archive.
	mkdir -p dist
	$(BIN)/shiv -q -r requirements-runtime.lock -e cicadapier.__main__:main -o $@ .

proto: $(VENV)/.ready
	cd src && ../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
	  --grpclib_python_out=. --plugin=protoc-gen-grpclib_python=../$(BIN)/protoc-gen-grpclib_python \
	  cicadapier/_internal/protocols/peers.proto

clean:
	rm -rf $(VENV) build dist .mypy_cache .ruff_cache .hypothesis
