# A fleet on loopback: fakes of the platform, engines and services, and the
# daemons before them. Sourced after processes.sh; $build_dir is set.

data_centres=(brest quimper lorient)
operator_key=operator
engines=()
services=()
daemons=()

data_centre_of() {
    echo "${data_centres[$(($1 % ${#data_centres[@]}))]}"
}

sha256_of() {
    printf '%s' "$1" | sha256sum | cut -d ' ' -f 1
}

start_platform() {
    start key_value "$build_dir/tests/fake_key_value"
    start host_list "$build_dir/tests/fake_host_list"
    await_ready key_value
    await_ready host_list
}

# start_engines COUNT [FLAG...]: hardware of three generations, each half as
# fast again as the one before.
start_engines() {
    local count=$1 i speeds=(1 1.5 2.25)
    shift
    for ((i = 0; i < count; i++)); do
        start "engine$i" "$build_dir/tests/fakes/fake_engine" \
            --name="engine$i" --speed="${speeds[$((i % 3))]}" "$@"
        engines+=("engine$i")
    done
    for ((i = 0; i < count; i++)); do
        await_ready "engine$i"
    done
}

# start_services COUNT [FLAG...]
start_services() {
    local count=$1 i
    shift
    for ((i = 0; i < count; i++)); do
        start "service$i" "$build_dir/tests/fakes/fake_service" \
            --name="service$i" "$@"
        services+=("service$i")
    done
    for ((i = 0; i < count; i++)); do
        await_ready "service$i"
    done
}

# daemon_settings NAME POLICY: a settings file on standard output.
daemon_settings() {
    local seeds=() name
    for name in "${daemons[@]}"; do
        seeds+=("\"$(address_of "$name" peer)\"")
    done
    cat <<JSON
{"daemon": "$1", "host": "$1",
 "data_centre": "$(data_centre_of ${#daemons[@]})",
 "http": "127.0.0.1:0", "peer": "127.0.0.1:0",
 "key_value": ["$(address_of key_value http)"],
 "host_list": ["$(address_of host_list http)"],
 "seeds": [$(IFS=','; echo "${seeds[*]}")],
 "policy": "$2",
 "operator_key_hash": "$(sha256_of "$operator_key")",
 "peer_secret": "loopback"}
JSON
}

# start_daemons COUNT POLICY: one after the other, each with the earlier ones
# as its seeds.
start_daemons() {
    local count=$1 policy=$2 i name
    for ((i = 0; i < count; i++)); do
        name=daemon$i
        daemon_settings "$name" "$policy" >"$run_dir/$name.json"
        start "$name" "$build_dir/tools/tanagerleadd" \
            --settings="$run_dir/$name.json"
        await_ready "$name"
        daemons+=("$name")
    done
}

# workspace_json NAME TIER: its bearer key is key-NAME.
workspace_json() {
    printf '"%s": {"tier": %d, "key_hashes": ["%s"],' \
        "$1" "$2" "$(sha256_of "key-$1")"
    printf ' "pools": ["report", "till"], "weight": 1, "most_waiting": 2000}'
}

# target_json NAME POOL NUMBER SLOTS
target_json() {
    printf '"%s": {"pools": ["%s"], "address": "%s", "data_centre": "%s",' \
        "$1" "$2" "$(address_of "$1" http)" "$(data_centre_of "$3")"
    printf ' "generation": %d, "slots": %d, "checks_fencing": false,' \
        $(($3 % 3 + 1)) "$4"
    printf ' "draining": false}'
}

# configuration ENGINE_SLOTS NAME:TIER...: the document of docs/INTERFACES.md.
configuration() {
    local slots=$1 i entry workspaces=() targets=()
    shift
    for entry in "$@"; do
        workspaces+=("$(workspace_json "${entry%:*}" "${entry#*:}")")
    done
    for i in "${!engines[@]}"; do
        targets+=("$(target_json "${engines[$i]}" report "$i" "$slots")")
    done
    for i in "${!services[@]}"; do
        targets+=("$(target_json "${services[$i]}" till "$i" 16)")
    done
    cat <<JSON
{"tiers": {"gold": {"tier": 0, "longest_wait_ms": 30000},
           "silver": {"tier": 1, "longest_wait_ms": 30000},
           "bronze": {"tier": 2, "longest_wait_ms": 30000}},
 "workspaces": {$(IFS=','; echo "${workspaces[*]}")},
 "pools": {"report": {"kind": "model"}, "till": {"kind": "service"}},
 "targets": {$(IFS=','; echo "${targets[*]}")},
 "groups": {"brittany": {"data_centres": ["brest", "quimper", "lorient"]}}}
JSON
}

operator() {
    local method=$1 path=$2
    shift 2
    curl -sS --fail-with-body -X "$method" "$@" \
        -H "Authorization: Bearer $operator_key" \
        "http://$(address_of "${daemons[0]}" http)/operator/v1/$path"
}

# write_configuration FILE: submits it as the first patch and waits until every
# daemon is ready with it.
write_configuration() {
    local name tries
    {
        printf '{"base_version": 0, "patch_id": "first", "kind": "merge",'
        printf ' "patch": '
        cat "$1"
        printf '}'
    } >"$run_dir/patch.json"
    operator POST config/patch -H 'Content-Type: application/json' \
        --data-binary "@$run_dir/patch.json" >"$run_dir/patch.answer"
    for name in "${daemons[@]}"; do
        tries=200
        until curl -sf -o "$run_dir/readyz" \
            "http://$(address_of "$name" http)/readyz"; do
            if ((--tries == 0)); then
                echo "$name is not ready: $(cat "$run_dir/readyz")" >&2
                return 1
            fi
            sleep 0.05
        done
    done
}

# fake_faults NAME JSON
fake_faults() {
    curl -sSf "http://$(address_of "$1" control)/fake/faults" -d "$2" \
        -o "$run_dir/faults.answer"
}

# run_load SCENARIO_FILE [FLAG...]: against all daemons, with the logs of the
# engines and services.
run_load() {
    local scenario=$1
    shift
    "$build_dir/tools/tanagerlead_load" --scenario="$scenario" \
        --entries="$(addresses_of http "${daemons[@]}")" \
        --logs="$(addresses_of control "${engines[@]}" "${services[@]}")" "$@"
}
