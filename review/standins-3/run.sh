#!/bin/sh
# Runs one case: run.sh CLASS NUMBER. Uses the classes that review/build-3.sh built, or compiles them
# into a temporary folder. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
classes=$here/target
temporary=
if [ ! -r "$classes/$1.class" ]; then
  temporary=$(mktemp -d) || exit 2
  trap 'rm -rf "$temporary"' EXIT
  classes=$temporary
  javac -nowarn -d "$classes" "$here"/*.java || exit 2
fi
if [ ! -r "$root/parsleycart-daemon/target/parsleycart-daemon-0.1.0-executable.jar" ]; then
  echo "the daemon is not built: run the build command of deploy/system.toml" >&2
  exit 2
fi
java -Xmx512m -cp "$classes" "$1" "$root" "$root/review/$2/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
