#!/bin/sh
# Creates the class data sharing archive of the daemon beside its jar, so that a start loads few
# classes from the jar. A JVM can use the archive only with the same garbage collector.
set -eu
cd "$(dirname "$0")/.."
jar=parsleycart-daemon/target/parsleycart-daemon-0.1.0-executable.jar
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xlog:cds=off -Xlog:cds+dynamic=off \
  -XX:ArchiveClassesAtExit=parsleycart-daemon/target/parsleycartd.jsa -jar "$jar" --rehearse
