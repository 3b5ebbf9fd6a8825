# Functions that start and end the processes of a run on loopback. Source this file from the repository's root.

STANDINS="mulberrycross-standins/target/mulberrycross-standins-0.1.0-SNAPSHOT.jar:mulberrycross-standins/target/lib/*"
DAEMON="mulberrycross-daemon/target/mulberrycross-daemon-0.1.0-SNAPSHOT.jar:mulberrycross-daemon/target/lib/*"
RUN_DIR="${RUN_DIR:-run}"
PIDS=()
mkdir -p "$RUN_DIR"
rm -f "$RUN_DIR"/*.log

# start NAME CLASSPATH CLASS ARGUMENTS: starts a process and sets LAST_PID. Only daemons use the optimising compiler:
# compiling in every stand-in at once kept 10 cores busy for the first half minute of a run.
start() {
  local name=$1 classpath=$2 class=$3
  shift 3
  local tier=1
  [ "$classpath" = "$DAEMON" ] && tier=4
  java -Xmx256m -XX:+UseSerialGC "-XX:TieredStopAtLevel=$tier" -cp "$classpath" "$class" "$@" >>"$RUN_DIR/$name.log" 2>&1 &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
}

# stop_all: ends every process that was started, in the reverse order, and waits for them.
stop_all() {
  local i
  for ((i = ${#PIDS[@]} - 1; i >= 0; i--)); do
    kill "${PIDS[$i]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  PIDS=()
}

# start_platform
start_platform() {
  start platform "$STANDINS" org.mulberrycross.standins.platform.PlatformMain --port 21000
}

# start_engines STEP_MICROS BATCH: starts the engines of examples/demo/objects.json.
start_engines() {
  local port=21101 first
  for first in 0 4 8; do
    for _ in 1 2 3; do
      start_engine "$port" "$first" $((first + 4)) 12 "$1" "$2"
      port=$((port + 1))
    done
  done
  start_engine 21110 0 4 8 "$1" "$2"
  start_engine 21111 4 8 8 "$1" "$2"
  start_engine 21112 0 8 8 "$1" "$2"
}

# start_engine PORT FIRST_LAYER END_LAYER MODEL_LAYERS STEP_MICROS BATCH
start_engine() {
  start "engine-$1" "$STANDINS" org.mulberrycross.standins.engine.EngineMain --port "$1" --first-layer "$2" \
    --end-layer "$3" --model-layers "$4" --step-micros "$5" --batch "$6"
}

# start_daemon NUMBER: starts daemon NUMBER (1 to 5) with its settings file.
start_daemon() {
  local port=$((21300 + $1))
  cat >"$RUN_DIR/daemon-$1.toml" <<TOML
[instance]
name = "daemon-$1"
data_centre = "peru-centro-$((($1 - 1) % 3 + 1))"

[listen]
address = "127.0.0.1:$port"

[platform]
address = "127.0.0.1:21000"

[siblings]
seeds = ["127.0.0.1:21301", "127.0.0.1:21302"]

${EXTRA_SETTINGS:-}
TOML
  start "daemon-$1" "$DAEMON" org.mulberrycross.daemon.RouterMain --settings "$RUN_DIR/daemon-$1.toml"
}

# wait_ready PORT: waits up to 20 seconds until the daemon on the port is ready.
wait_ready() {
  local i
  for ((i = 0; i < 100; i++)); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1" && printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3 && head -n 1 <&3 | grep -q ' 200 ') \
      2>/dev/null; then
      return 0
    fi
    sleep 0.2
  done
  echo "daemon on port $1 is not ready; see $RUN_DIR" >&2
  return 1
}

DAEMONS=127.0.0.1:21301,127.0.0.1:21302,127.0.0.1:21303,127.0.0.1:21304,127.0.0.1:21305
PIPELINES=redactor-ia:12:v1:4,campo-ops:8:v1:1

# start_service: starts the booking service of examples/demo/objects.json.
start_service() {
  start service "$STANDINS" org.mulberrycross.standins.service.ServiceMain --port 21201
}

# apply_objects: writes the objects of examples/demo/objects.json through the operators' command line.
apply_objects() {
  wait_port 21000
  java -cp "$DAEMON" org.mulberrycross.daemon.OperatorMain apply --platform 127.0.0.1:21000 examples/demo/objects.json
}

# wait_port PORT: waits up to 20 seconds until a process listens on the port.
wait_port() {
  local i
  for ((i = 0; i < 100; i++)); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then
      return 0
    fi
    sleep 0.2
  done
  echo "nothing listens on port $1; see $RUN_DIR" >&2
  return 1
}

# http PORT REQUEST_LINE BODY [HEADER...]: sends a request and prints the body of the response.
http() {
  local port=$1 line=$2 body=$3 header
  shift 3
  exec 3<>"/dev/tcp/127.0.0.1/$port"
  {
    printf '%s HTTP/1.0\r\nContent-Length: %s\r\nContent-Type: application/json\r\n' "$line" "${#body}"
    for header in "$@"; do printf '%s\r\n' "$header"; done
    printf '\r\n%s' "$body"
  } >&3
  sed '1,/^\r$/d' <&3
  exec 3<&-
  echo
}

# ask PORT PIPELINE PROMPT MAX_TOKENS STREAM
ask() {
  http "$1" 'POST /v1/chat/completions' \
    "{\"model\":\"$2\",\"messages\":[{\"role\":\"user\",\"content\":\"$3\"}],\"max_tokens\":$4,\"stream\":$5}" \
    'Authorization: Bearer key-1'
}

# book PORT KEY
book() {
  http "$1" 'POST /v1/services/rodding/bookings' '{"crew":"norte","duct":"km-3"}' \
    'Authorization: Bearer key-1' "Idempotency-Key: $2"
}
