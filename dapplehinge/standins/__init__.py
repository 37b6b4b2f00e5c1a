"""Imitations for trials, on loopback, with faults by script. The product imports none of this.

switch.py   a hall switch         handset.py   callers           wire.py    the network between, tap and
faults play.py     a box's switches      process.py   stand-ins as processes of their own scenario.py the
scenario file     trial.py     starts all, plays, and hands the trace to the audit
"""
