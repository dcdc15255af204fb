#!/bin/sh
# Builds the stand-ins that the scripts of this review start. It needs the Go toolchain and nothing from a network.
set -eu
cd "$(dirname "$0")/rig3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/rig3 .
