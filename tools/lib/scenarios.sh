# Load scenarios of the bench, as JSON on standard output. Sourced.

# Requests a second that twelve engines of 4 slots, decode step 30 ms and
# speeds 1, 1.5 and 2.25 can do, with the lengths below and nothing cached:
# each takes 31.7 tokens / 4 * 34.5 ms + 430 tokens / 8000 /s = 327 ms of an
# engine of speed 1, and the speeds add up to 19.
capacity_per_s=58
run_ms=15000
deadline_ms=10000

# rate FACTOR: so many times the capacity, a second.
rate() {
    awk -v c="$capacity_per_s" -v f="$1" 'BEGIN { printf "%.2f", c * f }'
}

# model_load NAME TIER FACTOR [MEMBERS]: one workspace.
model_load() {
    printf '{"name": "%s", "key": "key-%s", "tier": "%s", "pool": "report",' \
        "$1" "$1" "$2"
    printf ' "rate_per_s": %s, "deadline_ms": %d,' "$(rate "$3")" "$deadline_ms"
    printf ' "prompt_tokens": [20, 2000], "output_tokens": [3, 120]%s}' \
        "${4:+, $4}"
}

# thread_load NAME TIER FACTOR: long conversations with a shared prefix.
thread_load() {
    printf '{"name": "%s", "key": "key-%s", "tier": "%s", "pool": "report",' \
        "$1" "$1" "$2"
    printf ' "rate_per_s": %s, "deadline_ms": %d,' "$(rate "$3")" "$deadline_ms"
    printf ' "prompt_tokens": [50, 300], "output_tokens": [20, 60],'
    printf ' "threads": {"count": 24, "turns": 10, "shared_tokens": 512}}'
}

# service_load NAME TIER RATE: calls to the plain service, half of them not to
# be repeated.
service_load() {
    printf '{"name": "%s", "key": "key-%s", "tier": "%s", "pool": "till",' \
        "$1" "$1" "$2"
    printf ' "kind": "service", "rate_per_s": %s, "deadline_ms": %d,' \
        "$3" "$deadline_ms"
    printf ' "prompt_tokens": [3, 30], "non_idempotent_part": 0.5}'
}

# scenario WORKSPACE...
scenario() {
    printf '{"seed": 20261, "length_ms": %d, "workspaces": [%s]}' \
        "$run_ms" "$(IFS=','; echo "$*")"
}

# mix FACTOR: three tiers, with the same parts at any load.
mix() {
    local part
    part() { awk -v f="$1" -v p="$2" 'BEGIN { printf "%.4f", f * p }'; }
    scenario "$(model_load a gold "$(part "$1" 0.25)")" \
        "$(model_load b silver "$(part "$1" 0.35)")" \
        "$(model_load c bronze "$(part "$1" 0.4)")"
}

small_workspaces() {
    local name
    for name in small1 small2 small3 small4; do
        model_load "$name" silver 0.04
        echo
    done
}

# bench_load NAME: what the callers of a bench scenario send.
bench_load() {
    local small
    mapfile -t small < <(small_workspaces)
    case $1 in
    steady | straggler) mix 0.7 ;;
    burst_1.5x | daemon_killed) mix 1.5 ;;
    burst_3x) mix 3 ;;
    small_alone) scenario "${small[@]}" ;;
    large_neighbour)
        scenario "${small[@]}" "$(model_load b silver 1.5)"
        ;;
    threads)
        scenario "$(thread_load a gold 0.35)" "$(thread_load b silver 0.35)"
        ;;
    stale_*) mix 0.9 ;;
    key_value_down)
        scenario "$(model_load a gold 0.5)" "$(service_load b silver 20)"
        ;;
    *) return 1 ;;
    esac
}

bench_scenarios=(steady burst_1.5x burst_3x straggler small_alone
    large_neighbour threads stale_1s stale_3s stale_10s daemon_killed
    key_value_down)
