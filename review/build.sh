#!/usr/bin/env bash
# Builds the program that plays the scripted cases, with the stand-ins that it needs. It is a module of its own without
# dependencies, so that it is no part of the project's build, tests and linter.
set -euo pipefail
cd "$(dirname "$0")/cases"
GOFLAGS= GOWORK=off GOPROXY=off go build -buildvcs=false -o ../bin/review-cases .
