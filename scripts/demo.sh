#!/bin/sh
# Demonstrates requests end to end on loopback: one router in each of two
# availability zones, and stand-ins of the platform, a model engine and a plain
# service. Exits with 0, or with the status of the step that failed. Stops all
# processes that it started.
set -eu

. "$(dirname "$0")/demo_functions.sh"

# field_of NAME FIELD: prints the address in a field, such as `admin=ADDRESS`,
# of the `listening on` line of a program.
field_of() { sed -n "s/^.*$2=\([0-9.:]*\).*\$/\1/p" "$WORK/$1.out" | head -1; }

begin_step "start the stand-ins: platform, engine, service"
start platform redwingchute stand-in platform --listen 127.0.0.1:0
start engine redwingchute stand-in engine --listen 127.0.0.1:0 \
  --model yield-model --name runner-1 --token-interval-ms 20 --slots 8
start service redwingchute stand-in service --listen 127.0.0.1:0 --name ledger
PLATFORM=$(address_of platform)
ENGINE=$(address_of engine)
SERVICE=$(address_of service)

begin_step "publish a configuration"
CALLER_KEY=demo-caller-key
REDWINGCHUTE_OPERATOR_KEY=demo-operator-key
export REDWINGCHUTE_OPERATOR_KEY
# hash_of KEY: prints the SHA-256 hash of a key in hexadecimal.
hash_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
sed -e "s/ENGINE_ADDRESS/$ENGINE/" -e "s/SERVICE_ADDRESS/$SERVICE/" \
  -e "s/CALLER_KEY_HASH/$(hash_of "$CALLER_KEY")/" \
  -e "s/OPERATOR_KEY_HASH/$(hash_of "$REDWINGCHUTE_OPERATOR_KEY")/" \
  examples/demo.json >"$WORK/configuration.json"
redwingchute publish "$WORK/configuration.json" --platform "$PLATFORM" \
  --author demo --reason "first configuration"

begin_step "start a router in each of two availability zones"
start huon redwingchute router --host-name huon-1 --zone huon \
  --platform "$PLATFORM" --fleet-key demo-fleet-key-0001 \
  --listen 127.0.0.1:0 --admin-listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
  --balancer-lag-ms 200
start bruny redwingchute router --host-name bruny-1 --zone bruny \
  --platform "$PLATFORM" --fleet-key demo-fleet-key-0001 \
  --listen 127.0.0.1:0 --admin-listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
  --peers "huon-1=huon@$(field_of huon peers)" --balancer-lag-ms 200
HUON=$(address_of huon)
BRUNY=$(address_of bruny)
HUON_ADMIN=$(field_of huon admin)
BRUNY_ADMIN=$(field_of bruny admin)
retry curl -sf "http://$HUON_ADMIN/readyz"
retry curl -sf "http://$BRUNY_ADMIN/readyz"

begin_step "top the budget up as an operator"
retry redwingchute ask --admin "$BRUNY_ADMIN" \
  'top up budget "yield-books" by 100000 reference "invoice-1" because "demo"'
cat "$WORK/retry.log"

# chat ADDRESS IDEMPOTENCY_KEY: sends a streamed chat completion request to a
# router and prints the stream.
chat() {
  curl -sS -N "http://$1/v1/chat/completions" \
    -H "Authorization: Bearer $CALLER_KEY" -H "Idempotency-Key: $2" \
    -H 'Content-Type: application/json' \
    -d '{"model": "yield-model", "stream": true, "max_tokens": 60,
         "messages": [{"role": "user", "content": "reconcile shift 7"}]}'
}

begin_step "send a streamed request through the first router"
chat "$HUON" shift-7 >"$WORK/stream.txt"
tail -n 4 "$WORK/stream.txt"
expect 'data: \[DONE\]' "$WORK/stream.txt"

begin_step "send a non-repeatable service call twice"
# post ADDRESS: sends the call to a router; both calls have the same key.
post() {
  curl -sS -i "http://$1/services/certificates/post" \
    -H "Authorization: Bearer $CALLER_KEY" -H 'Idempotency-Key: certificate-1' \
    -d 'lot 42'
}
post "$BRUNY" >"$WORK/first.txt"
expect '^HTTP/1.1 200' "$WORK/first.txt"
post "$HUON" >"$WORK/second.txt"
expect '^idempotency-replayed: true' "$WORK/second.txt"
curl -sS "http://$SERVICE/control" >"$WORK/service.json"
[ "$(grep -o '"attempt_id"' "$WORK/service.json" | wc -l)" -eq 1 ] ||
  { cat "$WORK/service.json"; exit 1; }
echo "the service ran it once; the second response was replayed"

begin_step "show the tokens spent"
redwingchute ask --admin "$BRUNY_ADMIN" 'show spent'

begin_step "kill the first router during a stream"
chat "$HUON" shift-8 >"$WORK/cut.txt" 2>"$WORK/cut.err" &
CHAT=$!
retry grep -q 'data:' "$WORK/cut.txt"
kill -KILL "$PID_huon"
wait "$CHAT" || echo "the caller's connection was closed"
if grep -q 'data: \[DONE\]' "$WORK/cut.txt"; then
  echo "the stream was not cut"
  exit 1
fi

begin_step "retry with the same key through the other router"
# Sends the request whose stream was cut; fails unless its stream is complete.
complete_chat() {
  chat "$BRUNY" shift-8 >"$WORK/again.txt" && expect 'data: \[DONE\]' "$WORK/again.txt"
}
retry complete_chat
tail -n 2 "$WORK/again.txt"

begin_step "check that the request was billed once"
# The killed router's ledger shards are taken over within seconds.
show_spent() {
  redwingchute ask --admin "$BRUNY_ADMIN" 'show spent' >"$WORK/spent.txt" &&
    expect yield-books "$WORK/spent.txt"
}
retry show_spent
cat "$WORK/spent.txt"
redwingchute ask --admin "$BRUNY_ADMIN" --output json 'show spent' >"$WORK/spent.json"
# usage FILE: prints the number of tokens that a stream used.
usage() { sed -n 's/^.*"total_tokens": *\([0-9]*\).*$/\1/p' "$1" | tail -1; }
# The service call costs 5 tokens, its `call_price` in examples/demo.json.
EXPECTED=$(($(usage "$WORK/stream.txt") + $(usage "$WORK/again.txt") + 5))
python3 - "$WORK/spent.json" "$EXPECTED" <<'PY'
import json, sys
table = json.load(open(sys.argv[1]))
row = dict(zip(table["columns"], table["rows"][0]))
settled, expected = int(row["settled_tokens"]), int(sys.argv[2])
print(f"settled {settled} tokens, expected {expected}")
sys.exit(0 if settled == expected else 1)
PY

begin_step "stop everything"
