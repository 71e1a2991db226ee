#!/bin/bash
# Builds the stand-ins of the review's scripts; the build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/lib/*.java
