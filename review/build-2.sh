#!/bin/sh
# Builds the stand-ins of the second review's scripts. The build of the deploy file comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
cd review/rig2
GOWORK=off GOFLAGS= go build -o ../../target/review2/rig .
