"""The error that simulations raise."""


class InvariantError(Exception):
    """Something that must always hold did not; the text says what, and when."""
