#!/bin/sh
# Builds the stand-ins that the scripts start.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/standin
