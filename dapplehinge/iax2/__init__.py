"""IAX2 by RFC 5456, without I/O: datagrams and the clock go in, datagrams and events come out.

frames.py     full, mini and meta (trunk) frames        elements.py   information elements
codes.py      names and numbers of the RFC's registries  reliable.py   the reliable exchange of one call leg
states.py     the call state machine as a table          leg.py        one call leg, both sides
auth.py       MD5 and RSA challenges                     registry.py   registrations, both sides
numbers.py    call-number allocation and quarantine      engine.py     all legs of one socket
"""
