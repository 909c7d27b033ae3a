"""The one final answer that a client gets."""

from __future__ import annotations

from typing import NamedTuple

from quillroad.http_answer import Answer

# The statuses of a `Reply`.
SERVED = 200
FAILED = 502  # promises nothing: the request may have run
REJECTED = 503  # a retry is harmless
TIMED_OUT = 504  # no answer by the deadline; promises nothing


class Reply(NamedTuple):
    """The final answer to a client; `answer` is the host's where `status` is SERVED."""

    status: int
    answer: Answer | None = None
    retry_after_us: int = (
        0  # how long a rejected client is asked to wait, in microseconds; 0: not told
    )
