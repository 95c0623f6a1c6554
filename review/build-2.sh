#!/bin/sh
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/standin2
