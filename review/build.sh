#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -tags review -o target/review/ ./review/...
