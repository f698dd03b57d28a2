# Every target sets up what it needs: the virtual environment in .venv is
# created when it is missing and updated when the pinned requirements change.

VENV := .venv
PY := $(VENV)/bin/python
PACKAGES := packages/limpetwalk packages/limpetwalk-node packages/limpetwalk-ctl \
    packages/limpetwalk-bench platform
STAMP := $(VENV)/.installed
SOURCES := packages platform tests
SOAKED := tests.limpetwalk.records tests.limpetwalk.ledger \
    tests.limpetwalk.test_leases
SEED ?= 7
SEEDS ?= 1-50
SECONDS ?= 12
OUT ?= docs/measurements

.PHONY: help setup test format lint unit demo bench soak fault-soak \
    upgrade-soak record-formats clean

help:
	@echo "make test    set up .venv, then run formatter check, linter and tests"
	@echo "make demo    set up .venv, then run a router, its stand-ins and a load"
	@echo "make bench   run the quick measurements into docs/measurements"
	@echo "make soak SEED=n   run the property tests longer, from another seed"
	@echo "make fault-soak SEEDS=a-b  run entry nodes as processes under faults"
	@echo "make upgrade-soak COMMIT=c SEEDS=a-b  the same, from an older build"
	@echo "make record-formats COMMIT=c  record what nodes of a landing write"
	@echo "make format  rewrite the sources in the project's format"

setup: $(STAMP)

$(STAMP): requirements/dev.txt $(PACKAGES:%=%/pyproject.toml)
	@echo "setting up $(VENV) from requirements/dev.txt"
	@test -x $(PY) || python3.11 -m venv $(VENV)
	@$(PY) -m pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	@$(PY) -m pip install --quiet --disable-pip-version-check --no-deps \
	    --no-build-isolation $(PACKAGES:%=-e ./%)
	@touch $(STAMP)

format: $(STAMP)
	$(VENV)/bin/ruff check --quiet --fix $(SOURCES)
	$(VENV)/bin/ruff format $(SOURCES)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check --quiet $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)
	$(VENV)/bin/mypy $(PACKAGES)

unit: $(STAMP)
	$(VENV)/bin/nose2 --config nose2.cfg

test: lint unit

clean:
	rm -rf $(VENV) build run

demo: $(STAMP)
	bash scripts/demo.sh

bench: $(STAMP)
	OUT=$(OUT) bash scripts/bench.sh

# Property tests of records, ledger and leases, run longer and from another
# seed.
soak: $(STAMP)
	SOAK_SEED=$(SEED) $(VENV)/bin/nose2 --config nose2.cfg $(SOAKED)

# The fault soak with nodes that are replaced in turn by the present build, from
# that of COMMIT, and back again.
upgrade-soak: $(STAMP)
	$(VENV)/bin/python -m limpetwalk_bench.soak --seeds=$(SEEDS) \
	    --seconds=$(SECONDS) --from_commit=$(COMMIT)

# What nodes of COMMIT, a landing, write for other nodes; a test decodes it.
record-formats: $(STAMP)
	$(VENV)/bin/python -m limpetwalk_bench.formats --commit=$(COMMIT) \
	    --out=tests/limpetwalk_node/gateway/recorded/$(COMMIT).json

# Entry nodes as separate processes under random faults: nodes are killed,
# paused and stopped, and their connections and the store are disrupted.
fault-soak: $(STAMP)
	$(VENV)/bin/python -m limpetwalk_bench.soak --seeds=$(SEEDS) \
	    --seconds=$(SECONDS)
