#!/bin/sh
# Builds the stand-ins and the drivers of all cases into review/target, without any dependency.
set -eu
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -Xlint:all -d target/classes common/*.java $(find . -path ./target -prune -o -path './[0-9]*' -name '*.java' -print)
