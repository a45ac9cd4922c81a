#!/bin/sh
# Checks that the stand-ins of the cases from 6 on can be run; they need nothing beside
# Python's own library.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -c "
import review.standins2.case
import review.standins2.client
import review.standins2.gateway
import review.standins2.record
import review.standins2.replica
import review.standins2.store
import review.standins2.wire
"
