#!/bin/sh
. "$(dirname "$0")/../stand-ins-2/run-case.sh"
