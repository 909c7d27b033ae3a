"""Cluster membership of gateways, by the SWIM protocol with Lifeguard's extensions.

`core.py` and the modules that it imports do no I/O: the caller passes in time, randomness and
received datagrams, and collects the datagrams to send and the changes of the view. `transport.py`
is the only file that uses a socket; `service.py` runs the core and the transport inside a gateway.
"""
