"""Hitless upgrades: a new process of a gateway takes over from the old one without lost requests.

Disabled unless the gateway is started with an upgrades file.
"""
