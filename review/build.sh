#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../../target/review/rig .
