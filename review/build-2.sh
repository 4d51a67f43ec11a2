#!/bin/bash
# Builds the stand-ins of the scripts of cases 4 to 8. It needs no network once the modules are there.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-cases-2 ./review/cases-2
