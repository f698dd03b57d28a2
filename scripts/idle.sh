#!/usr/bin/env bash
# Measures the cost of entry nodes while no caller sends a request.
# usage: scripts/idle.sh NODES
set -u
cd "$(dirname "$0")/.." || exit 2
PY=${PY:-.venv/bin/python}
SITE=${SITE:-run/idle}
EXAMPLE=${EXAMPLE:-examples/bercvar}
# shellcheck source=scripts/site.sh
. scripts/site.sh
trap stop_site EXIT
start_site --example="$EXAMPLE" --nodes="${1:-9}" >"/dev/null" || exit 1
sleep 5
"$PY" -m limpetwalk_bench.idle_cost --site="$SITE/site.yaml" --seconds=15
