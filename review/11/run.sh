#!/bin/sh
exec "$(dirname "$0")/../standin-3/run-case.sh" "$(dirname "$0")" unfit
