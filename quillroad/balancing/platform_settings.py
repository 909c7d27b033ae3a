"""The settings under the platform's field names: the one place that knows these.

An object is read field by field; each is checked for its kind, and named by its path where it
cannot work. Fields that no decision reads are checked all the same and passed over: a platform that
tells them wrongly is told so at the start, not when a later version reads them.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar

from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings

Choice = TypeVar("Choice", bound=Enum)

MOST = 2**53
"""Largest number that is taken: whole ones up to it are exact in JSON, and fit every clock."""
PLATFORM_NAMES = {
    "gateway_count": "balancers",
    "gateway_index": "my_number",
    "max_attempts": "limits.attempts_cap",
    "initial_capacity": "guarantees.cold_from",
    "overload_multiple": "guarantees.fall_multiple",
    "overload_window_us": "guarantees.tip_after",
    "poll_interval_us": "guarantees.ask_within",
    "over_quota_weight": "over_share_worth",
    "max_retry_after_us": "limits.max_retry_after",
    "drain_grace_us": "guarantees.drain_grace",
    "warm_up_us": "guarantees.cold",
    "tenant_quotas_per_s": "orgs[].quota_per_s",
    "route.latency_objective_us": "goal_time",
    "route.deadline_us": "deadline",
    "route.priority_weight": "importance",
    "route.late_weight": "late_worth",
    "route.deduplication_window_us": "memory_span",
    "route.objective_stretch": "aim_stretch",
}
"""Fields of `Settings` and `Route` by the platform's names for them, where these differ."""


class SettingsObject:
    """One JSON object of the settings, `path` being where it stands.

    An absent field and null are the same; unknown fields are passed over. All readers raise
    `ValueError` with the field's path.
    """

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, Mapping):
            raise ValueError(f"{path}: needs an object, not {data!r:.60}")
        self._data = data
        self.path = path

    def path_of(self, key: str) -> str:
        """The path of one of its fields."""
        return f"{self.path}.{key}" if self.path else key

    def object(self, key: str) -> SettingsObject:
        """An object in this one; an empty one where it is absent."""
        value = self._data.get(key)
        return SettingsObject({} if value is None else value, self.path_of(key))

    def objects(self, key: str) -> list[SettingsObject]:
        """A list of objects; an empty one where it is absent."""
        value = self._data.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise ValueError(f"{self.path_of(key)}: needs a list, not {value!r:.60}")
        return [
            SettingsObject(one, f"{self.path_of(key)}[{index}]") for index, one in enumerate(value)
        ]

    def number(self, key: str, default: float) -> float:
        """A finite number of at most `MOST`, either sign."""
        value = self._data.get(key)
        if value is None:
            return default
        fits = isinstance(value, int | float) and not isinstance(value, bool)
        if not fits or not math.isfinite(value) or abs(value) > MOST:
            raise ValueError(f"{self.path_of(key)}: needs a number, not {value!r:.60}")
        return float(value)

    def optional_whole(self, key: str) -> int | None:
        """A whole number, or None where it is absent."""
        value = self._data.get(key)
        if value is None:
            return None
        number = self.number(key, 0.0)
        if number != int(number):
            raise ValueError(f"{self.path_of(key)}: needs a whole number, not {value!r:.60}")
        return int(value)

    def whole(self, key: str, default: int) -> int:
        """A whole number."""
        value = self.optional_whole(key)
        return default if value is None else value

    def flag(self, key: str) -> bool:
        """Whether the field is there and true, in Python's sense."""
        return bool(self._data.get(key))

    def text(self, key: str) -> str:
        """A text; an empty one where it is absent."""
        value = self._data.get(key)
        if value is not None and not isinstance(value, str):
            raise ValueError(f"{self.path_of(key)}: needs a text, not {value!r:.60}")
        return value or ""

    def choice(self, key: str, kind: type[Choice], default: Choice | None) -> Choice:
        """A member of an enum by its value; without `default` it must be there."""
        text = self.text(key)
        if not text and default is not None:
            return default
        if not text:
            raise ValueError(f"{self.path_of(key)}: missing")
        try:
            return kind(text)
        except ValueError:
            wanted = ", ".join(str(one.value) for one in kind)
            raise ValueError(
                f"{self.path_of(key)}: needs one of {wanted}, not {text!r:.60}"
            ) from None


def _by_platform_name(error: ValueError, path: str) -> ValueError:
    """The same error under the platform's name for the field."""
    field, colon, why = str(error).partition(":")
    name = PLATFORM_NAMES.get(field, field)
    return ValueError(f"{path}.{name}{colon}{why}" if path else f"{name}{colon}{why}")


def _read_route(entry: SettingsObject) -> Route:
    deadline_us = entry.optional_whole("deadline")
    if deadline_us is None:
        raise ValueError(f"{entry.path_of('deadline')}: missing")
    idempotency = entry.choice("semantics", Idempotency, None)
    values: dict[str, Any] = {
        "name": entry.text("name"),
        "idempotency": idempotency,
        "latency_objective_us": entry.optional_whole("goal_time"),
        "deadline_us": deadline_us,
        "priority_weight": entry.number("importance", 1.0),
        "late_weight": entry.number("late_worth", 0.0),
        "deduplication_scope": entry.choice("group", DeduplicationScope, DeduplicationScope.ALL),
        "deduplication_window_us": entry.whole("memory_span", 0),
        "objective_stretch": entry.number("aim_stretch", 0.0),
    }
    try:
        return Route(**values)
    except ValueError as error:
        raise _by_platform_name(error, entry.path) from None


def _read_routes(root: SettingsObject) -> tuple[Route, ...]:
    routes = tuple(_read_route(entry) for entry in root.objects("lanes"))
    names = [route.name for route in routes]
    for index, name in enumerate(names):
        if name and name in names[:index]:
            raise ValueError(f"lanes[{index}].name: {name!r:.60} stands there twice")
    return routes


def _check_unread(root: SettingsObject) -> None:
    """Check the fields that no decision reads. Flags of that sort cannot be wrong."""
    root.object("guarantees").whole("answer_slack", 0)
    root.object("specifics")
    root.text("weight_kind")
    mix = root.object("objective_mix")
    mix.number("whole", 1.0)
    mix.number("worst_class", 0.0)


def read_settings(data: Any) -> Settings:
    """Settings from the platform's object. Raises `ValueError` that names the field."""
    root = SettingsObject(data)
    limits = root.object("limits")
    guarantees = root.object("guarantees")
    values: dict[str, Any] = {
        "routes": _read_routes(root),
        "gateway_count": root.whole("balancers", 1),
        "gateway_index": root.whole("my_number", 0),
        "zone": root.whole("zone", 0),
        "discovery_is_polled": root.text("discovery") == "ask",
        "tenant_quotas_per_s": tuple(
            tenant.number("quota_per_s", 0.0) for tenant in root.objects("orgs")
        ),
        "over_quota_weight": root.number("over_share_worth", 1.0),
        "max_attempts": limits.whole("attempts_cap", 3),
        "hedging_allowed": limits.flag("parallel_tries"),
        "cancellation_allowed": limits.flag("cancelling"),
        "retry_after_allowed": limits.flag("retry_after"),
        "max_retry_after_us": limits.whole("max_retry_after", 0),
        "poll_interval_us": guarantees.whole("ask_within", 10_000_000),
        "drain_grace_us": guarantees.whole("drain_grace", 0),
        "warm_up_us": guarantees.whole("cold", 0),
        "initial_capacity": guarantees.number("cold_from", 1.0),
        "overload_multiple": guarantees.number("fall_multiple", 1.0),
        "overload_window_us": guarantees.whole("tip_after", 1_000_000),
        "cross_zone_cost": root.object("prices").number("cross_zone", 0.0),
        "clients_mark_retries": root.object("clients").flag("marks_retry"),
    }
    _check_unread(root)
    try:
        return Settings(**values)
    except ValueError as error:
        raise _by_platform_name(error, "") from None
