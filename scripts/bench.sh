#!/usr/bin/env bash
# Runs the quick measurements one after the other. Each writes a page to OUT:
# the command that reproduces it, and its table.
set -u
cd "$(dirname "$0")/.." || exit 2
export PY=${PY:-.venv/bin/python}
export OUT=${OUT:-docs/measurements}
export SITE=${SITE:-run/bench}
export COLUMNS=79
mkdir -p "$OUT" "$SITE"
failed=0

# Runs one measurement. Arguments: name of the page, module, flags of the
# module.
measure() {
    page="$OUT/$1.md"
    new="$SITE/$1.new"
    shift
    echo "measuring: python -m $*"
    if "$PY" -m "$@" >"$new" 2>"$new.err"; then
        {
            printf '# %s\n\nCommand: `python -m %s`\n\n```\n' \
                "$(basename "$page" .md)" "$*"
            cat "$new"
            printf '```\n'
        } >"$page"
    else
        echo "failed:" >&2
        tail -n 5 "$new.err" >&2
        failed=1
    fi
}

# Starts the stand-ins of the platform and sets ENDPOINT to the URL of their
# table service.
start_table() {
    # shellcheck source=scripts/site.sh
    . scripts/site.sh
    trap stop_site EXIT
    mkdir -p "$SITE/logs" "$SITE/pids"
    "$PY" -m limpetwalk_bench.providers --port=0 \
        >"$SITE/logs/platform.out" 2>"$SITE/logs/platform.err" &
    echo $! >"$SITE/pids/platform"
    STARTED="$STARTED $!"
    await_line platform || exit 1
    port=$(sed -n 's/.*"table": \([0-9]*\).*/\1/p' "$SITE/logs/platform.out")
    ENDPOINT="http://127.0.0.1:$port"
}

start_table
measure client_cost limpetwalk_bench.client_cost --endpoint="$ENDPOINT"
measure ledger_rate limpetwalk_bench.ledger_rate --interval=0.5 \
    --duration=3 --endpoint="$ENDPOINT"
measure decision_cost limpetwalk_bench.decision_cost
measure config_cost limpetwalk_bench.config_cost
measure mesh_cost limpetwalk_bench.mesh_cost --seconds=3
measure propagation limpetwalk_bench.propagation --tries=4
measure choice limpetwalk_bench.choice
measure guards limpetwalk_bench.experiments.guards --trials=100 \
    --plot="$OUT/guards.png"
measure cascades limpetwalk_bench.experiments.cascades
SITE=run/overhead bash scripts/overhead.sh || failed=1
for nodes in 3 9; do
    SITE=run/idle bash scripts/idle.sh $nodes >"$OUT/idle_$nodes.md" ||
        failed=1
done
SITE=run/last_request bash scripts/last_request.sh 9 >"$OUT/last_request.md" ||
    failed=1
exit $failed
