#!/bin/sh
# Makes the class archive of the daemon beside its jar, so that a start reads few classes anew.
# The archive serves only a runtime with the same collector.
set -eu
cd "$(dirname "$0")/.."
jar=parsleycart-daemon/target/parsleycart-daemon-0.1.0-executable.jar
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xlog:cds=off -Xlog:cds+dynamic=off \
  -XX:ArchiveClassesAtExit=parsleycart-daemon/target/parsleycartd.jsa -jar "$jar" --rehearse
