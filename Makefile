# One command each: `make demo` plays the opening trial, `make test` passes the tests.
VENV ?= .venv
PY = $(VENV)/bin/python

.PHONY: demo test bench clean

$(VENV)/.ready: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -c constraints.txt -e ".[dev]"
	touch $@

demo: $(VENV)/.ready
	$(VENV)/bin/dapplehinge trial bad-day

test: $(VENV)/.ready
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(PY) -m pytest -q

bench: $(VENV)/.ready
	$(VENV)/bin/dapplehinge bench

clean:
	rm -rf $(VENV)
