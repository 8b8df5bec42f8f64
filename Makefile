VENV ?= .venv
PY = $(VENV)/bin/python
STAMP = $(VENV)/.setup-done
export PYTHONPATH = $(CURDIR)/src:$(CURDIR)
export PYTHONHASHSEED = 0
JOBS ?= 4
# They check the memory of processes and run apart from other load.
CROWD_TESTS = tests/functional/test_untrusted_clients.py \
	tests/functional/test_client_crowds.py

.PHONY: setup test format lint types unit docs docs-check demo
.PHONY: bench-policy bench-placement bench-relay bench-control
.PHONY: fuzz slopes capacity soak

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt -e '.[dev,report]'
	touch $(STAMP)

format: setup
	$(PY) -m black -q src tests bench

lint: setup
	$(PY) -m black -q --check src tests bench
	$(PY) -m flake8 src tests bench

types: setup
	$(PY) -m mypy

unit: setup
	$(PY) -m pytest -n $(JOBS) tests \
		$(addprefix --ignore ,$(CROWD_TESTS))
	$(PY) -m pytest $(CROWD_TESTS)

docs: setup
	$(PY) -m corianderloft._internal.settings.document docs/settings.md

docs-check: setup
	$(PY) -m corianderloft._internal.settings.document --check \
		docs/settings.md
	$(PY) -m bench.capacity.page --check
	$(PY) -m pytest tests/docs

demo: setup
	$(PY) -m corianderloft demo

test: lint types unit

SEEDS ?= 0-2
WORKLOAD ?= drafting-desk,lace-model

bench-policy: setup
	$(PY) -m bench.policy --seeds $(SEEDS) --workload $(WORKLOAD)

bench-placement: setup
	$(PY) -m bench.placement --seeds $(SEEDS)

SOAK_SEEDS ?= fresh
SOAK_FLEET ?= small

soak: setup
	$(PY) -m tests.soak --seeds $(SOAK_SEEDS) --fleet $(SOAK_FLEET)

bench-relay: setup
	$(PY) -m bench.relay

slopes: setup
	$(PY) -m bench.capacity.slopes
	$(PY) -m bench.relay --record docs/measurements/relay.json

capacity: setup
	$(PY) -m bench.capacity.page

FUZZ_SEED ?= $(shell date +%s)

fuzz: setup
	$(PY) -m pytest -n $(JOBS) --timeout 3000 --hypothesis-profile=fuzz \
		--hypothesis-seed=$(FUZZ_SEED) tests/unit/shared -k machine

HOSTS ?= 8,16,32,64

bench-control: setup
	$(PY) -m bench.control --hosts $(HOSTS)
