# The two commands of a newcomer: `make demo` and `make test`.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed

FUZZ_EXAMPLES := 4000

.PHONY: demo test fuzz format lint types bench venv clean

venv: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable . || \
	  $(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m bench.demo

test: $(STAMP)
	$(PYTHON) -m nose2

# Property tests of the decoders with new examples; takes some minutes.
fuzz: $(STAMP)
	FUZZ_EXAMPLES=$(FUZZ_EXAMPLES) $(PYTHON) -m nose2 tests.test_fuzz

format: $(STAMP)
	$(PYTHON) -m ruff format .

lint: $(STAMP)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

types: $(STAMP)
	$(PYTHON) -m mypy

bench: $(STAMP)
	$(PYTHON) -m bench.all

clean:
	rm -rf $(VENV) build run
