#!/bin/sh
# Builds the daemon with the command of the deploy file if it is missing, and the stand-ins of the
# review. The store stand-in is the project's own and part of the daemon's jar.
set -eu
cd "$(dirname "$0")/.."
jar=parsleycart-daemon/target/parsleycart-daemon-0.1.0-executable.jar
if [ ! -r "$jar" ]; then
  sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
mkdir -p review/target
javac --release 17 -Xlint:all -cp "$jar" -d review/target review/standins/*.java
