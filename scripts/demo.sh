#!/usr/bin/env bash
# Runs a whole site on this machine, sends a mixed load, kills an entry node
# meanwhile and prints the outcome of every request. Exits with 1 if a check
# of the outcomes fails.
set -u
cd "$(dirname "$0")/.." || exit 2
PY=${PY:-.venv/bin/python}
SITE=${SITE:-run/demo}
WORKLOAD=${WORKLOAD:-examples/workloads/demo.yaml}
# shellcheck source=scripts/site.sh
. scripts/site.sh
trap stop_site EXIT

echo "starting stand-ins and three entry nodes in $SITE"
start_site --example=examples/bercvar --nodes=3 --time_scale=0.3 || exit 1
echo "sending the load; one node is killed half-way"
"$PY" -m limpetwalk_bench.load --workload="$WORKLOAD" \
    --site="$SITE/site.yaml" --json="$SITE/result.json"
code=$?
"$(dirname "$PY")/limpetctl" --settings="$SITE/ctl.yaml" status
exit $code
