"""Stand-ins and load for tests and benchmarks: loopback only, bounded in time.

`schedule` says when requests come, `clients` sends them, `hosts` answers them, `gateway` starts the
program under test, and `account` joins what clients and hosts saw into one account of every
request.
"""
