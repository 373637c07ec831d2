#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin-2 ./review/standin-2
