"""Cluster membership: which gateways there are, by SWIM with Lifeguard's extensions.

`core.py` and what it imports are pure: time and randomness are passed in, datagrams and changes
come out. `transport.py` is the only file that touches a socket; `service.py` runs both inside a
gateway.
"""
