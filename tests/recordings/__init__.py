"""Recorded decisions of the decision package, to check changes that must not change decisions."""
