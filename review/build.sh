#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs a JDK 17 only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && exec javac -Xlint:-options -d target/review review/stand-ins/*.java
