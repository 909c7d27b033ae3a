"""Safety margins between the gateway's decisions and a client's deadline. No I/O.

docs/design/upstream-constants.md lists the measurements behind these values.
"""

from __future__ import annotations

# Seconds before the client's deadline at which its attempts time out and the balancer gives its
# final answer. The answer must reach the client within this time, even if the event loop runs late
# because another process occupies the core.
DECISION_MARGIN_S = 0.040
# Seconds before the client's deadline at which the engine answers if the balancer has not. It is
# shorter than DECISION_MARGIN_S, so that the balancer can answer first, and still leaves time for
# the answer to reach the client.
FALLBACK_MARGIN_S = 0.015
# Largest fraction of the client's remaining time that DECISION_MARGIN_S may take; both margins
# shrink in proportion to fit. Without this limit, a request with a timeout of 50 ms would have only
# 10 ms for its attempt.
MAX_MARGIN_FRACTION = 0.25
# Seconds since the event loop's last tick after which the kernel may hold an unread client
# disconnect, so that the socket state is checked before an attempt starts. A client that left
# counts as disconnected after 0.1 s; this value is lower, so that a late event loop is noticed
# before then.
CLIENT_CHECK_LAG_S = 0.075


def margin_scale(left_s: float) -> float:
    """Return the factor (0 to 1) for both margins if `left_s` seconds remain to the deadline."""
    return min(1.0, MAX_MARGIN_FRACTION * left_s / DECISION_MARGIN_S)
