#!/bin/sh
# The project's checks: style, types, generated code, tests.
set -eu
cd "$(dirname "$0")/.."
PY="${PYTHON:-python3}"
"$PY" -m ruff check .
"$PY" -m ruff format --check .
"$PY" scripts/peer_pb2.py --check
"$PY" -m mypy
"$PY" -m pytest -n auto
