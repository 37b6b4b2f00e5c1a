"""A load's figures as an object, and as a plot."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from dapplehinge.load.run import Load

FIELDS = ("offered", "in_time", "late", "refused", "failed", "gave_up", "no_handset")


def as_object(load: Load) -> dict[str, Any]:
    classes = {}
    for part, count in zip(load.plan.classes, load.counts, strict=True):
        row: dict[str, Any] = {name: getattr(count, name) for name in FIELDS}
        row["causes"] = {str(cause): number for cause, number in sorted(count.causes.items())}
        row["set_up_ms"] = {
            f"p{p:g}": count.histogram.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)
        }
        classes[part.name] = row
    return {
        "classes": classes,
        "by_second": [{"offered": offered, "in_time": in_time} for offered, in_time in load.by_second],
        "repeated_frames": load.engine.counts["repeated"],
    }


def plot(load: Load, file: Path) -> None:
    """Offered and stood in time by second, and set-up time by percentile for each class."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4), layout="constrained")
    seconds = range(len(load.by_second))
    left.step(seconds, [offered for offered, _ in load.by_second], where="post", label="offered")
    left.step(seconds, [in_time for _, in_time in load.by_second], where="post", label="stood in time")
    left.set(xlabel="second", ylabel="calls", ylim=(0, None))
    left.legend()
    points = [0, 25, 50, 75, 90, 95, 99, 99.5, 99.9]
    for part, count in zip(load.plan.classes, load.counts, strict=True):
        if count.histogram.get_total_count():
            values = [count.histogram.get_value_at_percentile(p) / 1000 for p in points]
            right.plot(range(len(points)), values, marker="o", label=part.name)
    right.set_xticks(range(len(points)), [f"{p:g}" for p in points])
    right.set(xlabel="percentile of set-ups", ylabel="ms from when the call was due", yscale="log")
    right.grid(alpha=0.3)
    right.legend()
    figure.savefig(file, dpi=110)
