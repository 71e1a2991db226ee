#!/bin/bash
# Builds the stand-ins of the second review into target/review-2; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 $(find review/lib-2 review/6 review/7 review/8 review/9 review/10 -name "*.java" 2>/dev/null)
