#!/bin/sh
# Builds the stand-ins of the cases of REPORT-2.md into review/target/classes-2, without any dependency.
set -eu
cd "$(dirname "$0")"
rm -rf target/classes-2
mkdir -p target/classes-2
javac -Xlint:all -d target/classes-2 common-2/*.java
