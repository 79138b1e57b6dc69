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

# Prints the name of a step and stores it for the report of a failure.
begin_step() { STEP="$1"; printf '\n== %s\n' "$1"; }

# Repeats a command until it succeeds, up to 150 times within about 30 seconds.
retry() {
  tries=0
  until "$@" >"$WORK/retry.log" 2>&1; do
    tries=$((tries + 1))
    if [ "$tries" -ge 150 ]; then cat "$WORK/retry.log" >&2; return 1; fi
    sleep 0.2
  done
}

# Fails unless a file has a line that matches a pattern.
expect() { grep -q -- "$1" "$2" || { echo "expected '$1' in:"; cat "$2"; return 1; }; }

# Starts a program in the background under a name and waits until it prints its
# `listening on` line. Its process id is in PID_name.
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

# Prints the address of a program's `listening on` line.
address_of() { sed -n 's/^.*listening on \([0-9.:]*\).*$/\1/p' "$WORK/$1.out" | head -1; }

trap stop_all EXIT
trap 'exit 130' INT TERM
