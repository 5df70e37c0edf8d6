PYTHON ?= python3
BIN := .venv/bin
PACKAGES := $(wildcard libs/*/) apps/cowslipstepd apps/cowslipstep standins platform
SOURCES := libs apps standins platform tests bench conftest.py
STAMP := .venv/.installed

.PHONY: setup demo serve test lint format bench bench-day soak serving-soak takeovers

setup: $(STAMP)

$(STAMP): requirements.txt $(wildcard libs/*/pyproject.toml) $(wildcard apps/*/pyproject.toml) standins/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation $(addprefix -e ./,$(PACKAGES))
	touch $(STAMP)

demo: setup
	$(BIN)/python -m cowslipstep_standins.demo

serve: setup
	$(BIN)/python -m cowslipstep_standins.demo --serve

test: setup
	$(BIN)/python -m pytest -q -n 3 --dist loadfile -m 'not crowd'
	$(BIN)/python -m pytest -q -m crowd

lint: setup
	$(BIN)/ruff format --check -q $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy $(wildcard libs/*/src apps/*/src) standins/src platform/src
	$(BIN)/lint-imports --no-cache

format: setup
	$(BIN)/ruff format -q $(SOURCES)

bench: setup
	$(BIN)/python bench/run.py $(if $(BENCH),--only $(BENCH))

# Runs a local fleet under random faults, once for each seed:
# make soak SEED=1 SEEDS=50.
soak: setup
	$(BIN)/python -W ignore -m cowslipstep_standins.soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1)

# Plays controllers that take over from each other in simulated time:
# make takeovers SEED=0 SEEDS=3000.
takeovers: setup
	$(BIN)/python -W ignore -m cowslipstep_standins.takeovers --seed $(or $(SEED),0) --seeds $(or $(SEEDS),100)

# Runs serving daemons with stale lists, silent runners, restarts and leavers:
# make serving-soak SEED=1 SEEDS=50.
serving-soak: setup
	$(BIN)/python -W ignore -m cowslipstep_standins.serving_soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1)

# Runs a day of a site with the users' benchmark, which is not part of this
# repository; FLEETBENCH is its command.
bench-day:
	$(FLEETBENCH) run $(SITE) $(DAY) --why "$(or $(WHY),make bench-day)"
