#!/usr/bin/env bash
# bench.sh BUILD_DIR PROFILE [EXPERIMENT...]: runs the experiments of a profile, each on a new set of
# processes, prints a table each and leaves JSON results in run-data/PROFILE.
set -euo pipefail
build=$1
profile=${2:-karttapaja}
shift 2 || shift $#
experiments=("$@")
[ ${#experiments[@]} -gt 0 ] || experiments=(calm overload primary-crash primary-partition primary-silent instance-kill store-outage
    baseline-primary-reads baseline-static-shares baseline-fifo-overload)
seed=${SEED:-1}
seconds=${SECONDS_PER_RUN:-15}
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
out=${OUT:-$here/../../run-data/$profile}
mkdir -p "$out"

case "$profile" in
    karttapaja) slots=5 connections=35 max_age=5s heavy=museum ;;
    kettering) slots=3 connections=40 max_age=2s heavy=depot-a ;;
    *) echo "unknown profile $profile: karttapaja or kettering" >&2; exit 2 ;;
esac

run_experiment() (
    experiment=$1 args=()
    case "$experiment" in
        calm) ;;
        overload) args=(--overload "$heavy" --factor 8) ;;
        baseline-primary-reads) read_policy=primary ;;
        baseline-static-shares) limit_policy=static_share ;;
        baseline-fifo-overload) queue_policy=fifo args=(--overload "$heavy" --factor 8) ;;
        replica-lag) args=(--fault "replica-lag@4+5:8000") ;;
        lose-answers) args=(--fault "lose-answers@4+1:5") ;;
        *) args=(--fault "$experiment@4+8") ;;
    esac
    export CITRONLUG_BIN=$build
    source "$here/cluster.sh"
    start_cluster
    "$build/src/bench/citronlug-bench" --mode prepare --profile "$here/profiles/$profile.json" --cluster "$work/cluster.json"
    "$build/src/bench/citronlug-bench" --profile "$here/profiles/$profile.json" --cluster "$work/cluster.json" \
        --seconds "$seconds" --seed "$seed" --json "$out/$experiment.json" ${args[@]+"${args[@]}"} | tee "$out/$experiment.txt"
)

for experiment in "${experiments[@]}"; do
    echo "== $profile: $experiment (seed $seed, $seconds s)"
    run_experiment "$experiment"
done
