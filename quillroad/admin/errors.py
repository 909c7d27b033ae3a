"""Errors of operators' calls."""

from __future__ import annotations


class AdminCallError(Exception):
    """A call was not carried out; nothing has changed."""


class BadCallError(AdminCallError):
    """A call has an unknown path, a wrong method or a malformed host id.

    `status` is the HTTP status of the answer. For a wrong method (405), `allow` is the method that
    the path accepts, for the `Allow` header; otherwise it is empty.
    """

    def __init__(self, status: int, reason: str, allow: str = "") -> None:
        super().__init__(reason)
        self.status = status
        self.allow = allow


class NoSuchHostError(AdminCallError):
    """The host is neither in the endpoint list nor out of service."""


class TooManyOverridesError(AdminCallError):
    """The maximum number of hosts (`MAX_OVERRIDES`) is out of service already."""
