#!/bin/sh
# Builds the stand-ins and the checks that the scripts of cases 11 and later start.
set -eu
cd "$(dirname "$0")/standins-3"
mkdir -p target
javac -nowarn -d target ./*.java
