"""The final answer to a client request."""

from __future__ import annotations

from typing import NamedTuple

from quillroad.http_answer import Answer

# Values of `Reply.status`.
SERVED = 200
FAILED = 502  # a host may have executed the request
REJECTED = 503  # no host has executed the request, so a retry is safe
TIMED_OUT = 504  # no answer by the deadline; a host may have executed the request


class Reply(NamedTuple):
    """The final answer to a client; `answer` is the host's answer if `status` is SERVED."""

    status: int
    answer: Answer | None = None
    retry_after_us: int = (
        0  # how long a rejected client should wait before a retry, in microseconds; 0: not sent
    )
