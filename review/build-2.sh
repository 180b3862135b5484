#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10. The store stand-in of this project is
# part of the daemon's jar, which the build command of deploy/system.toml builds.
set -eu
cd "$(dirname "$0")/.."
jar=parsleycart-daemon/target/parsleycart-daemon-0.1.0-executable.jar
if [ ! -r "$jar" ]; then
  echo "$jar is missing: run the build command of deploy/system.toml first" >&2
  exit 1
fi
mkdir -p review/standins-2/target
javac -Xlint:all -encoding UTF-8 -cp "$jar" -d review/standins-2/target review/standins-2/*.java
mkdir -p review/standins-2/crowds/target
javac -Xlint:all -encoding UTF-8 -d review/standins-2/crowds/target review/standins-2/crowds/*.java
