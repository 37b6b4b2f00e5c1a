"""The operators' platform without its sockets: settings, member list, set-ups as offered, the service.

settings.py   settings as both ways in read them      members.py   the control feed's list of switches
offers.py     an INVITE's fields, checked             service.py   calls between callers, module and switches
"""
