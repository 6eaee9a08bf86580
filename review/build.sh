#!/bin/sh
# Compiles every stand-in that the cases start: those of this folder, and the project's own.
# Run after the build of deploy/service.toml, whose packages in target/deps the stand-ins use.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
export PYTHONPATH="$root:$root/target/deps:$root/review/lib"
python3 -S -m compileall -q review standins >/dev/null
python3 -S -c "import harness, late_state, standins.cloud, standins.simulated_cloud, standins.simulated_workers"
