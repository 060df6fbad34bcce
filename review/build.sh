#!/usr/bin/env bash
# Builds the cases and the stand-ins that they share. Needs a JDK 17 only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && exec javac -Xlint:-options -d target/review review/*.java review/*/*.java
