#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review. Needs the JDK only.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -Xlint:all -d target/classes harness/*.java
