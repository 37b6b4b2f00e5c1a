"""The running program's clock."""

import time


def clock() -> float:
    """Milliseconds that only go forward."""
    return time.monotonic() * 1000.0
