#!/usr/bin/env bash
# Checks formatting, lint rules, types and tests in the virtual environment of the project.
# Test files are divided among TEST_PARTS pytest processes (default 8). With arguments, a single
# pytest process runs with these arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
python=.venv/bin/python
[ -x "$python" ] || python3 -m venv .venv
"$python" -m pip install --quiet --editable '.[dev]'
"$python" -m black --check --quiet . || { echo "black: files are not formatted; run black ."; exit 1; }
"$python" -m ruff check .
"$python" -m mypy
if [ $# -gt 0 ]; then
    exec "$python" -m pytest "$@"
fi

parts=${TEST_PARTS:-8}
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
pids=()
for part in $(seq "$parts"); do
    "$python" -m pytest --part "$part/$parts" >"$logs/$part" 2>&1 &
    pids+=($!)
done
failed=0
for part in $(seq "$parts"); do
    wait "${pids[$((part - 1))]}" || failed=1
done
for part in $(seq "$parts"); do
    echo "== part $part of $parts"
    cat "$logs/$part"
done
passed=$(awk '{ for (i = 2; i <= NF; i++) if ($i ~ /^passed/) sum += $(i - 1) }
    END { print sum + 0 }' "$logs"/*)
failures=$(awk '/^(FAILED|ERROR) / { sum++ } END { print sum + 0 }' "$logs"/*)
echo "$passed passed, $failures failed"
exit "$failed"
