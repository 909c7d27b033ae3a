"""What can be wrong with a call of an operator."""

from __future__ import annotations


class AdminCallError(Exception):
    """A call that cannot be carried out; it has changed nothing."""


class BadCallError(AdminCallError):
    """A call that makes no sense.

    `status` is that of its answer; `allow` is the method that its path has, where the method is
    what is wrong, and empty otherwise.
    """

    def __init__(self, status: int, why: str, allow: str = "") -> None:
        super().__init__(why)
        self.status = status
        self.allow = allow


class NoSuchHostError(AdminCallError):
    """A host that no source has told of, and that is not out of service either."""


class TooManyOverridesError(AdminCallError):
    """More hosts are out of service than can be remembered."""
