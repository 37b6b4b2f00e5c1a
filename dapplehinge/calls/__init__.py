"""The call core, without I/O: fronts tell it of calls and legs, the module decides, it gives actions back.

network.py    what the box is told of the network        actions.py   what fronts are asked to do
dialplan.py   digits -> destination and class            causes.py    cause codes <-> the module's outcomes
trunks.py     the ledger of busy circuits                interlock.py last check before a set-up leaves
deadline.py   how old a call in transit is               agenda.py    what falls due, in order
origin.py     who a call comes from                      core.py      the call table and its life cycle
"""
