#!/usr/bin/env bash
# Measures the time from a zone's removal to the start of the last request in
# it.
# usage: scripts/last_request.sh NODES
set -u
cd "$(dirname "$0")/.." || exit 2
PY=${PY:-.venv/bin/python}
SITE=${SITE:-run/last_request}
# shellcheck source=scripts/site.sh
. scripts/site.sh
trap stop_site EXIT
start_site --example=examples/bercvar --nodes="${1:-9}" --time_scale=0.3 \
    >/dev/null || exit 1
sleep 5
"$PY" -m limpetwalk_bench.last_request --site="$SITE/site.yaml"
