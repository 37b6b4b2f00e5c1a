"""The load tool: N handsets play a plan against a box. plan.py the file and its arrivals, run.py the
handsets,
report.py figures and plot."""
