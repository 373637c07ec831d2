#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
