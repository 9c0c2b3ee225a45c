#!/bin/sh
# Checks that the stand-ins of the scripts can be started. They need only the standard
# library of the python3 that runs the instances; the deploy file builds the rest.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 python3 -c \
    "import harness.clients, harness.fleet, harness.replicas, harness.store"
test -d target/deps/pomeloglade_platform || {
    echo "target/deps is missing: run sh deploy/build.sh" >&2
    exit 1
}
