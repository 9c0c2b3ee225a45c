PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := packages/pomeloglade-coordination packages/pomeloglade packages/pomeloglade-standins
SOURCES := $(PACKAGES:%=$(CURDIR)/%/src)
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(SOURCES)):$(CURDIR)/platform:$(CURDIR)
export PIP_DISABLE_PIP_VERSION_CHECK := 1

.PHONY: setup demo test lint format bench soak mutations fuzz clean

setup: $(VENV)/.installed

$(VENV)/.installed: constraints.txt requirements-dev.txt $(PACKAGES:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps $(PACKAGES:%=--editable %)
	touch $@

demo: setup
	$(BIN)/python -m scripts.demo

test: setup
	$(BIN)/python -m pytest $$($(BIN)/python scripts/known_red.py)

lint: setup
	$(BIN)/ruff format --check packages platform tests bench scripts soak
	$(BIN)/ruff check packages platform tests bench scripts soak

format: setup
	$(BIN)/ruff format packages platform tests bench scripts soak
	$(BIN)/ruff check --fix packages platform tests bench scripts soak

bench: setup
	$(BIN)/python -m bench

soak: setup
	$(BIN)/python -m soak $(SOAK)

mutations: setup
	$(BIN)/python -m scripts.mutations

fuzz: setup
	$(BIN)/python -m scripts.fuzz $(SEED)

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis
