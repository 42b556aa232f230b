# `make demo` plays a short drill, `make test` runs the linter and the tests, `make fuzz` fuzzes the SASP parser.
# Each first installs the project with its dependencies into .venv.
PYTHON ?= python3
VENV = .venv/foxstep-ready
KNOWN_RED = $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)

$(VENV): pyproject.toml
	test -d .venv || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -e ".[test]"
	touch $@

demo: $(VENV)
	.venv/bin/foxstep drill first-light

test: $(VENV)
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	@test ! -e KNOWN-RED.txt || cat KNOWN-RED.txt
	.venv/bin/python -m pytest -q $(addprefix --deselect=,$(KNOWN_RED))

fuzz: $(VENV)
	.venv/bin/python tests/fuzz_sasp.py -runs=1000000 -max_len=600 -rss_limit_mb=600 -timeout=2 tests/corpus

.PHONY: demo test fuzz
