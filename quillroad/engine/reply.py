"""The final answer to a client request."""

from __future__ import annotations

from typing import NamedTuple

from quillroad.http_answer import Answer

# Values of `Reply.status`.
SERVED = 200
FAILED = 502  # no promise that a retry is safe: the request may have been executed
REJECTED = 503  # promises that a retry is safe
TIMED_OUT = 504  # no answer by the deadline; no promise that a retry is safe


class Reply(NamedTuple):
    """The final answer to a client; `answer` is the host's answer if `status` is SERVED."""

    status: int
    answer: Answer | None = None
    # How long a rejected client should wait before a retry, in microseconds; 0: not sent.
    retry_after_us: int = 0
