"""Soak of the platform front: a real proxy process against stand-ins, signals and faults drawn from a seed.

`plan` draws a run, `switches`, `discovery` and `callers` are the stand-ins, `run` plays the plan and
collects records, `judge` finds what breaks a rule in the records alone. By hand: `python -m tests.soak`.
"""
