#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, into target/.
set -euo pipefail
cd "$(dirname "$0")/scene-3"
GOWORK=off go build -o ../../target/scene-3 .
