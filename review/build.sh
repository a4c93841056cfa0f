#!/bin/sh
# Builds the stand-ins of the cases that are scripts. They need nothing but Go.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review/rig .
