#!/bin/sh
# Builds the program of the scripts of the third review. It has the stand-ins of the platform, the workers
# and the clients in it, and needs nothing but Go's standard library.
set -eu
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target/review-3
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-3/standin3 .
