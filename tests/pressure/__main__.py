"""`python -m tests.pressure [KIND ...]`: bad clients at the ends of the limits; exit 1 on a fault."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from tests.pressure.clients import Kind
from tests.pressure.trial import CROWDED, LARGEST, SMALLEST, Result, run_trial


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.pressure", description=__doc__)
    parser.add_argument("kinds", nargs="*", help="all if none is named")
    parser.add_argument("--seconds", type=float, default=8.0, help="of pressure in each trial")
    parser.add_argument("--parallel", type=int, default=2, help="trials side by side")
    options = parser.parse_args()
    kinds = [Kind(name) for name in options.kinds] or list(Kind)
    pairs = [
        (kind, limits)
        for kind in kinds
        for limits in (SMALLEST, CROWDED, LARGEST)
        if limits is not CROWDED or not kind.is_one_connection
    ]
    failed = 0
    with ProcessPoolExecutor(options.parallel) as pool:
        trials = [pool.submit(run_trial, kind, limits, options.seconds) for kind, limits in pairs]
        for trial in trials:
            failed += show(trial.result())
    print(f"{len(trials) - failed} passed, {failed} failed")
    return 1 if failed else 0


def show(result: Result) -> bool:
    print(result.summary())
    for fault in result.faults():
        print(f"  BROKEN {fault}")
    sys.stdout.flush()
    return bool(result.faults())


if __name__ == "__main__":
    sys.exit(main())
