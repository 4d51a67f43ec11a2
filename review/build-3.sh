#!/usr/bin/env bash
# Builds what the scripts of the third review start, besides the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-cases-3 ./review/cases-3
