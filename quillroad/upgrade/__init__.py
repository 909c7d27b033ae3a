"""Upgrades without loss: one process of a gateway takes over from another.

Off unless a file turns it on.
"""
