"""Call detail records, without I/O: what is written, how it is framed, and what is made of what a crash left.

entry.py     intents, records and corrections     segment.py    frames, checksums, the chain of sealed
segments backlog.py   group commit and its bound           recovery.py   decisions on start, after any crash
"""
