#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build of the deploy file: they use
# the JSON library of the router.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp 'platform/target/lib/*' review/standins-2/*.java
