# Functions that start and stop the processes of a site laid out by
# `python -m limpetwalk_bench.site lay-out`. Sourced by the other scripts.
# SITE is its folder, PY the Python interpreter.

STARTED=""

# Starts the processes of one stage and waits until each has printed its ready
# line.
start_stage() {
    mkdir -p "$SITE/pids" "$SITE/logs"
    while read -r stage name command; do
        [ "$stage" = "$1" ] || continue
        # shellcheck disable=SC2086
        "$PY" $command >"$SITE/logs/$name.out" 2>"$SITE/logs/$name.err" &
        echo $! >"$SITE/pids/$name"
        STARTED="$STARTED $!"
    done <"$SITE/processes"
    while read -r stage name command; do
        [ "$stage" = "$1" ] || continue
        await_line "$name" || return 1
    done <"$SITE/processes"
}

# Waits until a process has printed its ready line.
await_line() {
    for _ in $(seq 300); do
        grep -qs '"ready"' "$SITE/logs/$1.out" && return 0
        kill -0 "$(cat "$SITE/pids/$1")" 2>/dev/null || break
        sleep 0.1
    done
    echo "$1 did not become ready:" >&2
    tail -n 20 "$SITE/logs/$1.err" >&2
    return 1
}

# Terminates the processes that this script started, by their ids: resumes and
# terminates them, and kills those that are alive after 15 seconds.
stop_site() {
    for pid in $STARTED; do
        kill -CONT "$pid" 2>/dev/null
        kill -TERM "$pid" 2>/dev/null
    done
    for _ in $(seq 150); do
        alive=""
        for pid in $STARTED; do
            kill -0 "$pid" 2>/dev/null && alive="$alive $pid"
        done
        [ -z "$alive" ] && return
        sleep 0.1
    done
    for pid in $alive; do
        kill -KILL "$pid" 2>/dev/null
    done
}

# Lays out a site, starts its stand-ins, applies its configuration and starts
# its entry nodes. Arguments are passed to `limpetwalk_bench.site lay-out`.
start_site() {
    "$PY" -m limpetwalk_bench.site lay-out --out="$SITE" "$@" || return 1
    start_stage 0 || return 1
    "$PY" -m limpetwalk_bench.site register --out="$SITE" || return 1
    "$(dirname "$PY")/limpetctl" --settings="$SITE/ctl.yaml" \
        apply "$SITE/config" || return 1
    start_stage 1
}
