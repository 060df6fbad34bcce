#!/bin/sh
# Builds the stand-ins and cases of the second review into target/review-2. Needs a JDK 17, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -Xlint:all -Werror -d target/review-2 review/*/java/*.java
