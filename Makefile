PYTHON ?= python3
BIN := .venv/bin
READY := .venv/.ready

.PHONY: demo test check format sizes clean experiments soak

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev]'
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m swiftjunction.demo

check: $(READY)
	$(BIN)/ruff format --check src tests bench
	$(BIN)/flake8 src tests bench
	$(BIN)/mypy src

test: check
	$(BIN)/python -m pytest tests/cover

format: $(READY)
	$(BIN)/ruff format src tests bench

sizes: $(READY)
	$(BIN)/python bench/sizes.py

SEED ?= 1
SECONDS ?= 60

experiments: $(READY)
	$(BIN)/python -m bench suite --seed $(SEED) --page docs/RESULTS.md

soak: $(READY)
	$(BIN)/python -m bench soak --seed $(SEED) --seconds $(SECONDS)

clean:
	rm -rf .venv build src/*.egg-info
