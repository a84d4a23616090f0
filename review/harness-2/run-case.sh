#!/usr/bin/env bash
# Plays a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. Ends the nodes that are left over if the case itself was ended.
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/plantainpost target/review-2/cases; do
    if [ ! -x "$program" ]; then
        echo "$program is missing; run the build of the deploy file and review/build-2.sh" >&2
        exit 2
    fi
done
PIDS=$(mktemp) || exit 2
export PIDS
end_nodes() {
    while read -r pid; do
        if tr '\0' ' ' < "/proc/$pid/cmdline" | grep -q '^target/release/plantainpost run '; then
            kill -KILL "$pid"
        fi
    done < "$PIDS" 2> /dev/null
    rm -f "$PIDS"
}
trap end_nodes EXIT
timeout -k 2 110 target/review-2/cases "$name" "$folder"
rc=$?
case $rc in
    0 | 1) exit $rc ;;
    *) exit 2 ;;
esac
