"""Upgrades file with short times, for tests."""

FILE = """
[times]
start = "4 s"
prepare = "2 s"
switch = "1 s"
retire = "4 s"
[canary]
time = "400 ms"
silence = "500 ms"
least = 20
[limits]
memory_mb = 250.0
"""
