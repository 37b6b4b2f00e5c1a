"""The operators' platform on sockets: Tornado's loop and streams around `dapplehinge.platform.service`.

config.py    what the platform tells at the start     node.py     the service on sockets, timer, drain
callers.py   SIP connections, bounds                  links.py    connections to switches
feed.py      the control feed's long poll             run.py      start and signals
streams.py   bounded TCP streams
"""
