# Functions that start daemons and stand-ins as processes, to be sourced by the scripts in bin/.
# Requires the variables here (root of the checkout) and work (a folder for logs and settings).

children=()
failures=0
callers=()
operators=()
daemon_processes=()

stop_all() {
  [ ${#children[@]} -gt 0 ] && kill "${children[@]}" 2>/dev/null
  wait 2>/dev/null
  if [ "$failures" -eq 0 ]; then rm -rf "$work"; else echo "logs are kept in $work"; fi
}

run() { # log name, command...; runs the command in the background
  local log=$1
  shift
  "$@" > "$work/$log.log" 2>&1 &
  children+=($!)
}

build_if_missing() {
  local module
  for module in standin daemon command bench; do
    if [ ! -r "$here/parsleycart-$module/target/parsleycart-$module-0.1.0-executable.jar" ]; then
      echo "building (once; takes some minutes on a fresh machine) ..."
      (cd "$here" && mvn -B -q -DskipTests package) > "$work/build.log" 2>&1 && return
      echo "the build failed:"
      tail -20 "$work/build.log"
      failures=1
      exit 1
    fi
  done
}

start_platform() { # address
  run platform "$here/bin/parsleycart-standin" platform --listen "$1"
}

start_daemon() { # index, zone, platform, four ports, extra settings line
  local index=$1 zone=$2 platform=$3 extra=${8:-}
  callers+=("127.0.0.1:$4")
  operators+=("127.0.0.1:$7")
  cat > "$work/daemon-$index.yaml" <<SETTINGS
zone: $zone
addresses:
  callers: 127.0.0.1:$4
  daemons: 127.0.0.1:$5
  control: 127.0.0.1:$6
  operators: 127.0.0.1:$7
platform: $platform
peerKeys: [trial-key-0123456789]
$extra
SETTINGS
  run "daemon-$index" "$here/bin/parsleycartd" --settings "$work/daemon-$index.yaml"
  daemon_processes+=("${children[-1]}")
}

joined() { # items...; prints them joined by commas
  local IFS=,
  echo "$*"
}
