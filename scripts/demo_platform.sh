#!/bin/sh
# Demonstrates the gateways of the users' hosts on loopback: two gateways, and
# stand-ins of the metadata store and of two model runners. Exits with 0, or
# with the status of the step that failed. Stops all processes that it started.
set -eu

. "$(dirname "$0")/demo_functions.sh"

# start_gateway NAME IP ZONE: starts a gateway with a settings file and a
# loopback address of its own, like the platform does. The variable PID_ZONE
# gets its process id.
start_gateway() {
  name=$1
  ip=$2
  cat >"$WORK/$name.conf" <<SETTINGS
nodeName=$name
ip=$ip
zone=$3
listen.frontend=$ip:8227
listen.ready=$ip:8220
internalPorts=7340,7355
bounds.graceS=8
bounds.retrySlack=50
platform.address=$STORE
SETTINGS
  REDWINGCHUTE_CONFIG="$WORK/$name.conf" redwingchute gateway \
    >"$WORK/$name.out" 2>"$WORK/$name.err" &
  PIDS="$PIDS $!"
  eval "PID_$3=$!"
}

# generate IP OUTPUT_FILE ATTEMPT_ID: sends a request with 400 prompt tokens and
# 8 output tokens to a gateway and prints the status of the response.
generate() {
  curl -sS --max-time 5 -o "$2" -w '%{http_code}\n' -X POST -d prompt \
    -H 'Host: demo.example' -H "Attempt-Id: $3" -H 'Deadline-Ms: 4000' \
    -H 'Authorization: Bearer demo-key' -H 'Model: m' \
    -H 'Token-Usage: 400,8' -H 'Prompt-Prefix: aa:300,bb:100' \
    "http://$1:8227/draft/sheet"
}

begin_step "start the stand-ins: metadata store, two model runners"
start store redwingchute stand-in metadata-store --listen 127.0.0.1:0
STORE=$(address_of store)
for number in 1 2; do
  start "runner$number" redwingchute stand-in runner --store "$STORE" \
    --service llm --name "runner-$number"
done

begin_step "publish a configuration: one account with 1,300 prepaid tokens"
curl -sS --max-time 5 -o /dev/null -X POST "http://$STORE/control/put" -d '{
  "topic": "keyed.op", "key": "config", "value": {
    "version": 1,
    "routes": [{"name": "draft", "host": "demo.example",
      "pathPrefix": "/draft/", "type": "streaming", "timeoutMs": 4000,
      "targetLatencyMs": 800, "service": "llm", "maxAttempts": 1}],
    "services": [{"name": "llm", "inferenceEngine": {"stride": 1}}],
    "tenants": [{"name": "drafts", "apiKeys": ["demo-key"],
      "reserved": 1300}]}}'

begin_step "start a gateway in each of two availability zones"
start_gateway huon-1 127.0.0.11 huon
start_gateway bruny-1 127.0.0.12 bruny
for ip in 127.0.0.11 127.0.0.12; do
  retry curl -fsS --max-time 2 "http://$ip:8220/v1/readyz"
done

begin_step "send a streamed request through each gateway"
generate 127.0.0.11 "$WORK/first" 1 >"$WORK/status"
expect '^200$' "$WORK/status"
expect 'data: token 7' "$WORK/first"
generate 127.0.0.12 "$WORK/second" 2 >"$WORK/status"
expect '^200$' "$WORK/status"
cat "$WORK/second"

begin_step "send a third, which needs the tokens of both gateways"
generate 127.0.0.11 "$WORK/third" 3 >"$WORK/status"
expect '^200$' "$WORK/status"

begin_step "send a fourth, refused because 1,224 of 1,300 tokens are spent"
generate 127.0.0.12 "$WORK/fourth" 4 >"$WORK/status"
expect '^402$' "$WORK/status"
cat "$WORK/fourth"
echo

begin_step "kill a gateway; the other still refuses the account's requests"
kill -KILL "$PID_huon"
# Status 402: the gateway has the newest configuration, and the grant rows in
# the log and the other gateway's replies show that too few tokens are left.
# Status 503: it cannot confirm one of these, and cannot reserve the tokens.
generate 127.0.0.12 "$WORK/fifth" 5 >"$WORK/status"
expect '^\(402\|503\)$' "$WORK/status"

begin_step "show metrics and log events of the other gateway"
curl -fsS --max-time 2 http://127.0.0.12:9464/metrics | grep '^requests_total'
expect '"event":"charge_refused"' "$WORK/bruny-1.out"
grep '"event":"request_ended"' "$WORK/bruny-1.out" | head -1

begin_step "done"
