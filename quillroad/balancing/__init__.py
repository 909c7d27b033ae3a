"""The gateway's load-balancing decisions, without I/O.

`balancer.Balancer` takes the `events` of a gateway and returns `actions` for its engine to run.
"""

from quillroad.balancing.actions import (
    Action,
    CancelAttempt,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    SetTimer,
    StartHealthCheck,
    WatchEndpoints,
)
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    HealthCheckFinished,
    Outcome,
    RequestArrived,
    SiblingAttempts,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings

__version__ = "0.2.0"

__all__ = [
    "Action",
    "AttemptFinished",
    "Balancer",
    "CancelAttempt",
    "ClientDisconnected",
    "DeduplicationScope",
    "Endpoint",
    "EndpointStatus",
    "EndpointUpdate",
    "Event",
    "Fail",
    "HealthCheckFinished",
    "Idempotency",
    "LogMessage",
    "Outcome",
    "Reject",
    "RequestArrived",
    "Route",
    "SendAttempt",
    "SetTimer",
    "Settings",
    "SiblingAttempts",
    "StartHealthCheck",
    "StreamStarted",
    "TimerFired",
    "UpdateKind",
    "WatchEndpoints",
]
