#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
classes=review/target:parsleycart-daemon/target/parsleycart-daemon-0.1.0-executable.jar
[ -d review/target ] || sh review/build.sh || exit 2
# 1 (the default) runs the case with its disruption, 0 without it.
export TROUBLE="${TROUBLE:-1}"
exec java -Xmx512m -cp "$classes" review.Case late-heartbeat review/5
