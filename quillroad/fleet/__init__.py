"""Gateways that know which of them are there. All but `socket.py` and `daemon.py` is free of I/O."""
