PYTHON ?= python3
BIN := .venv/bin
READY := .venv/.ready

.PHONY: demo test check platform-check format sizes clean experiments soak \
	own-soak slopes

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev]'
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m swiftjunction.demo

check: $(READY)
	$(BIN)/ruff format --check src tests bench soak deploy
	$(BIN)/flake8 src tests bench soak deploy
	$(BIN)/mypy src

# The roles of deploy/system.toml as processes, before our own stand-ins.
platform-check: $(READY)
	$(BIN)/python -m pytest tests/cover/test_platform_processes.py

# What is known to fail stands in this file; only the tests that it names are
# passed over.
KNOWN_RED := KNOWN-RED.txt
PASS_OVER := $(shell sed -n 's/^test: *\(tests[^ ]*\)$$/--deselect \1/p' \
	$(KNOWN_RED))

test: check
	cat $(KNOWN_RED)
	$(BIN)/python -m pytest tests/cover $(PASS_OVER)

format: $(READY)
	$(BIN)/ruff format src tests bench soak deploy

sizes: $(READY)
	$(BIN)/python bench/sizes.py

SEED ?= 1
SECONDS ?= 60

experiments: $(READY)
	$(BIN)/python -m bench suite --seed $(SEED) --page docs/RESULTS.md

# Random faults over the processes of deploy/system.toml.
soak: $(READY)
	PYTHONPATH=. $(BIN)/python -m soak --seed $(SEED) --seconds $(SECONDS)

# The same over the processes of an own deployment.
own-soak: $(READY)
	$(BIN)/python -m bench soak --seed $(SEED) --seconds $(SECONDS)

SLOPES := out/slopes.jsonl
SLOPES_SIZES := 8 16 32 64 128 200

slopes: $(READY)
	rm -f $(SLOPES)
	for size in $(SLOPES_SIZES); do \
		PYTHONPATH=. $(BIN)/python bench/slopes.py --size $$size \
			--output $(SLOPES) || exit 1; done
	PYTHONPATH=. $(BIN)/python bench/slopes.py --report --output $(SLOPES)

clean:
	rm -rf .venv build src/*.egg-info
