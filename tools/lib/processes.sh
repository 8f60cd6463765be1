# Background programs of a script: each is started once, known by a name, and
# stopped by its process id. Sourced.

declare -A process_ids=()
run_dir=$(mktemp -d "${TMPDIR:-/tmp}/tanagerlead.XXXXXX")

# start NAME PROGRAM [ARGUMENT...]: output goes to NAME.out and NAME.log.
start() {
    local name=$1
    shift
    # Emptied here: the background shell may do it after the first look for a
    # ready line, which would then find that of an earlier program of the name.
    : >"$run_dir/$name.out"
    "$@" >>"$run_dir/$name.out" 2>"$run_dir/$name.log" &
    process_ids[$name]=$!
}

# await_ready NAME: returns when the program has printed its ready line.
await_ready() {
    local name=$1 tries=400
    until grep -q '"ready":true' "$run_dir/$name.out"; do
        if ! kill -0 "${process_ids[$name]}" 2>/dev/null || ((--tries == 0)); then
            echo "$name did not start:" >&2
            tail -n 5 "$run_dir/$name.log" >&2
            return 1
        fi
        sleep 0.05
    done
}

# address_of NAME FIELD: an address out of the ready line.
address_of() {
    sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$run_dir/$1.out" | head -n 1
}

# addresses_of FIELD NAME...: the same of several, comma-separated.
addresses_of() {
    local field=$1 name list=()
    shift
    for name in "$@"; do
        list+=("$(address_of "$name" "$field")")
    done
    (IFS=','; echo "${list[*]}")
}

# stop NAME...: asks each to end, then waits for it.
stop() {
    local name
    for name in "$@"; do
        kill -CONT "${process_ids[$name]}" 2>/dev/null || true
        kill -TERM "${process_ids[$name]}" 2>/dev/null || true
    done
    for name in "$@"; do
        wait_or_kill "${process_ids[$name]}"
        unset "process_ids[$name]"
    done
}

# wait_or_kill PID: a program that does not end within 20 s is killed.
wait_or_kill() {
    local tries=200
    while kill -0 "$1" 2>/dev/null; do
        if ((--tries == 0)); then
            echo "process $1 did not end and is killed" >&2
            kill -KILL "$1" 2>/dev/null || true
            break
        fi
        sleep 0.1
    done
    wait "$1" 2>/dev/null || true
}

stop_all() {
    stop "${!process_ids[@]}"
}

# For `trap finish EXIT`: stops everything; keeps the logs after a failure.
finish() {
    local status=$?
    stop_all
    if ((status == 0)); then
        rm -rf "$run_dir"
    else
        echo "logs: $run_dir" >&2
    fi
    exit "$status"
}
