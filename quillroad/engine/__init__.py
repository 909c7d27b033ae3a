"""Drives the balancing decisions: events in, actions out, and the open requests."""
