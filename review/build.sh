#!/bin/bash
# Builds the stand-ins of the scripts. It needs no network.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o ../bin/standin .
