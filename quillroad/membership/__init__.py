"""Gateways that know which of them are there. All but `socket.py` is free of I/O, time and randomness."""
