"""`python -m tests.soak --seeds 1-50`: plays drawn runs and prints what broke; exit 1 if anything did."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from time import monotonic

from tests.soak.plan import dense_shutdown, draw
from tests.soak.trial import run_trial


def main() -> int:
    options = arguments()
    first, _, last = options.seeds.partition("-")
    begun, failed = monotonic(), 0
    plans = []
    for seed in range(int(first), int(last or first) + 1):
        if options.dense:
            plans.append(dense_shutdown(seed, options.dense, options.hanging, options.cycles))
        else:
            plans.append(draw(seed, options.cycles))
    with ProcessPoolExecutor(options.parallel) as pool:
        for trial in pool.map(run_trial, plans):
            failed += bool(trial.violations)
            print(trial.summary())
            if details := trial.details(options.logs):
                print(details)
            sys.stdout.flush()
    print(f"{len(plans) - failed} passed, {failed} failed in {monotonic() - begun:.0f} s")
    return 1 if failed else 0


def arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="first-last, or one")
    parser.add_argument("--cycles", type=int, default=3, help="shutdowns a seed")
    parser.add_argument("--parallel", type=int, default=4, help="runs side by side")
    parser.add_argument("--dense", type=float, default=0.0, help="ms: dense trials, this longest deadline")
    parser.add_argument("--hanging", type=int, default=3, help="switches that hang in a dense trial")
    parser.add_argument("--logs", action="store_true", help="show the node's log of runs that failed")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
