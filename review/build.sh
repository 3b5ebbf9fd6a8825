#!/usr/bin/env bash
# Compiles the stand-ins of the scripts. Run after the build of deploy/system.toml, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac -d review/target/classes -cp 'platform/target/lib/*' review/standins/*.java
