#!/bin/sh
# Builds the stand-ins of the review, after the build of the deploy file: Python with its standard library,
# so that there is nothing but to compile them for the interpreter of that build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
