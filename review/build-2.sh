#!/bin/sh
# Builds the program that plays the cases 6 to 10, with its stand-ins.
set -e
cd "$(dirname "$0")/.."
out="$PWD/target/review-2"
mkdir -p "$out"
cd review/scene-2
GOWORK=off go build -o "$out/scene" .
