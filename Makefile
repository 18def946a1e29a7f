# Entry points for people and for CI. VENV may name an existing environment.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
PACKAGES := daisypick_core daisypick_http daisypick_node daisypick_router daisypick_cli daisypick_standins daisypick_lab
PROJECTS := $(foreach p,$(PACKAGES),packages/$(p)) platform
CHECKED := packages platform spec tools conftest.py
export PYTHONPATH := $(subst $() ,:,$(foreach p,$(PROJECTS),$(CURDIR)/$(p)/src))

.PHONY: install format format-check lint test demo demo-quick bench docs soak ci

$(VENV)/.installed: constraints.txt $(foreach p,$(PROJECTS),$(p)/pyproject.toml)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -c constraints.txt -r requirements-dev.txt
	$(PYTHON) -m pip install -q --no-build-isolation --no-deps $(foreach p,$(PROJECTS),-e $(p))
	touch $@

$(VENV)/bin/daisypick-router: $(VENV)/.installed deploy/build_launcher.sh deploy/launcher/router.c
	bash deploy/build_launcher.sh $(PYTHON) $@

install: $(VENV)/.installed $(VENV)/bin/daisypick-router

format: install
	$(VENV)/bin/ruff format $(CHECKED)
	$(VENV)/bin/ruff check -q --fix $(CHECKED)

format-check: install
	$(VENV)/bin/ruff format --check $(CHECKED)

lint: install
	$(VENV)/bin/ruff check $(CHECKED)
	$(PYTHON) tools/check_imports.py packages platform spec tools
	$(PYTHON) tools/check_comments.py packages platform spec
	$(PYTHON) -m daisypick_platform.wire_names packages spec tools
	$(PYTHON) tools/write_configuration_page.py --check
	$(PYTHON) tools/write_reference_pages.py --check

docs: install
	$(PYTHON) tools/write_configuration_page.py
	$(PYTHON) tools/write_reference_pages.py

test: install
	$(PYTHON) -m pytest

demo: install
	$(PYTHON) -m daisypick_cli demo

demo-quick: install
	$(PYTHON) -m daisypick_cli demo --quick

SEEDS ?= 1-3
soak: install
	$(PYTHON) -m daisypick_soak --seeds $(SEEDS) $(SOAK)

bench: install
	$(PYTHON) -m daisypick_lab.bench --page docs/MEASUREMENTS.md

ci: format-check lint test
