#!/bin/sh
# Builds the stand-ins of the scripted cases of the second review.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig2 ./review/rig2
