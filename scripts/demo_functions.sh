# Shared functions of the demo scripts, which source this file with set -eu.

WORK=$(mktemp -d)
PIDS=""
STEP="start"

# Stops the programs that were started, reports a failed step, and exits.
stop_all() {
  status=$?
  for pid in $PIDS; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in $PIDS; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "FAILED in step: $STEP (status $status)" >&2
    tail -n 20 "$WORK"/*.err "$WORK"/*.out >&2 || true
  fi
  rm -rf "$WORK"
  exit "$status"
}

# begin_step NAME: prints the name of a step and stores it for the report of a
# failure.
begin_step() { STEP="$1"; printf '\n== %s\n' "$1"; }

# retry COMMAND ...: repeats a command until it succeeds, up to 150 times with
# pauses of 0.2 seconds. The output of the last run is in $WORK/retry.log.
retry() {
  tries=0
  until "$@" >"$WORK/retry.log" 2>&1; do
    tries=$((tries + 1))
    if [ "$tries" -ge 150 ]; then cat "$WORK/retry.log" >&2; return 1; fi
    sleep 0.2
  done
}

# expect PATTERN FILE: fails unless a line of a file matches a pattern.
expect() { grep -q -- "$1" "$2" || { echo "expected '$1' in:"; cat "$2"; return 1; }; }

# start NAME PROGRAM ...: starts a program in the background under a name and
# waits up to 20 seconds until it prints its `listening on` line. The variable
# PID_NAME gets its process id, and NAME.out and NAME.err its output.
start() {
  name=$1
  shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.err" &
  eval "PID_$name=$!"
  PIDS="$PIDS $!"
  tries=0
  until grep -q 'listening on' "$WORK/$name.out"; do
    kill -0 "$!" 2>/dev/null || { cat "$WORK/$name.err" >&2; return 1; }
    tries=$((tries + 1))
    [ "$tries" -lt 200 ] || return 1
    sleep 0.1
  done
}

# address_of NAME: prints the address in the `listening on` line of a program.
address_of() { sed -n 's/^.*listening on \([0-9.:]*\).*$/\1/p' "$WORK/$1.out" | head -1; }

trap stop_all EXIT
trap 'exit 130' INT TERM
