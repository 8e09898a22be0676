# Sourced by each case's run.sh, with CASE set: runs the built case from the repository's root, for 120 s at most, in a folder of
# its own, and ends whatever it has started. KEEP_LOGS names a folder for the gateways' logs, if they are wanted.
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review/case$CASE" ] && [ -x target/release/yewroute ] || { echo "not built"; exit 2; }
FOLDER=$(mktemp -d) || exit 2
RECORD=$PWD/review/$CASE/record.txt
export FOLDER RECORD
end() {
    for pid in $(cat "$FOLDER/pids" 2>/dev/null); do kill -KILL "$pid" 2>/dev/null; done
    [ -z "${KEEP_LOGS:-}" ] || cp "$FOLDER"/*.log "$KEEP_LOGS"
    rm -rf "$FOLDER"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout -k 2 110 "target/review/case$CASE"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
