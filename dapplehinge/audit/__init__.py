"""Judges the five rules from a trace of datagrams alone.

trace.py   the trace file, written and read      legs.py    datagrams -> legs of calls
judge.py   legs -> verdicts on the rules         report.py  verdicts as a table or JSON
"""
