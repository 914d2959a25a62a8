#!/usr/bin/env bash
# Format, lint, types and tests, in a virtual environment of the project's own.
set -euo pipefail
cd "$(dirname "$0")/.."
python=.venv/bin/python
[ -x "$python" ] || python3 -m venv .venv
"$python" -m pip install --quiet --editable '.[dev]'
"$python" -m black --check --quiet . || { echo "black: run black ."; exit 1; }
"$python" -m ruff check .
"$python" -m mypy
"$python" -m pytest "$@"
