"""The running box: event loop, sockets, timers, start and stop.

port.py    one UDP socket with its engine     server.py     the box: fronts, core, drain
directory.py   the list of switches by TCP    logs.py       structured logs
"""
