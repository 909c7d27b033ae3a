"""How long before a client's deadline its request is decided. No I/O.

docs/design/upstream-constants.md has what was measured.
"""

from __future__ import annotations

# Seconds before the client's deadline at which its attempts time out and the balancer gives its
# final answer: the time in which that answer must reach the client, also from an event loop that
# runs late on a core that another process has just then.
DECISION_MARGIN_S = 0.040
# Seconds before the client's deadline at which the engine answers by itself if the balancer has
# not: less than the margin above, so that the balancer comes first, and still time for the way to
# the client.
FALLBACK_MARGIN_S = 0.015
# Most of the time that a client gives that the longer margin may take. Without this a client that
# gives 50 ms would have an attempt of 10 ms; both margins shrink to fit.
MARGIN_FRACTION = 0.25
# Seconds since the event loop's last sign of life after which a client's end may lie unread in the
# kernel, so that it is asked for before an attempt begins. A client that has left counts as gone
# after 0.1 s; with this a loop that is late is noticed before that.
UNREAD_CLIENT_S = 0.075


def margin_scale(left_s: float) -> float:
    """By what both margins shrink (0 to 1) for a client that gives `left_s` seconds."""
    return min(1.0, MARGIN_FRACTION * left_s / DECISION_MARGIN_S)
