"""Limits in front of the module, without I/O: what reaches it, and what is refused unread.

rates.py      rates by key, one number each          sources.py   limits by source network, longest prefix
tenants.py    tenants against their quotas           pressure.py  how much the box can take, the worthiest
first gate.py       all of them in their order
"""
