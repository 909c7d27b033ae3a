"""Reads `Settings` from the platform's JSON object; only this module knows its field names.

The object is read field by field. Each field's type and bounds are checked, and an error names the
field by its path. Fields that no decision uses are checked too and then ignored, so that a platform
learns of a wrong value at the start and not when a later version uses the field.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar

from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings

Choice = TypeVar("Choice", bound=Enum)

MAX_NUMBER = 2**53
"""Largest number that is accepted: integers up to it are exact in JSON, and fit every clock."""
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
"""The platform's names of `Settings` and `Route` fields, where the two names differ."""


class SettingsObject:
    """One JSON object of the settings, with the `path` at which it was found.

    A field that is null counts as absent, and unknown fields are ignored. Every reader raises
    `ValueError` with the field's path if the value is invalid.
    """

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, Mapping):
            raise ValueError(f"{path}: needs an object, not {data!r:.60}")
        self._data = data
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the path of a field of this object."""
        return f"{self.path}.{key}" if self.path else key

    def object(self, key: str) -> SettingsObject:
        """Return a nested object; an empty one if absent."""
        value = self._data.get(key)
        return SettingsObject({} if value is None else value, self.path_of(key))

    def objects(self, key: str) -> list[SettingsObject]:
        """Return a list of objects; an empty list if absent."""
        value = self._data.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise ValueError(f"{self.path_of(key)}: needs a list, not {value!r:.60}")
        return [
            SettingsObject(item, f"{self.path_of(key)}[{index}]")
            for index, item in enumerate(value)
        ]

    def number(self, key: str, default: float) -> float:
        """Return a finite number between `-MAX_NUMBER` and `MAX_NUMBER`."""
        value = self._data.get(key)
        if value is None:
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not math.isfinite(value) or abs(value) > MAX_NUMBER:
            raise ValueError(f"{self.path_of(key)}: needs a number, not {value!r:.60}")
        return float(value)

    def optional_integer(self, key: str) -> int | None:
        """Return a whole number, or None if absent."""
        value = self._data.get(key)
        if value is None:
            return None
        number = self.number(key, 0.0)
        if number != int(number):
            raise ValueError(f"{self.path_of(key)}: needs a whole number, not {value!r:.60}")
        return int(value)

    def integer(self, key: str, default: int) -> int:
        """Return a whole number."""
        value = self.optional_integer(key)
        return default if value is None else value

    def flag(self, key: str) -> bool:
        """Return whether the field is present and truthy."""
        return bool(self._data.get(key))

    def text(self, key: str) -> str:
        """Return a string; an empty one if absent."""
        value = self._data.get(key)
        if value is not None and not isinstance(value, str):
            raise ValueError(f"{self.path_of(key)}: needs a text, not {value!r:.60}")
        return value or ""

    def choice(self, key: str, enum_type: type[Choice], default: Choice | None) -> Choice:
        """Return an enum member by its value; with a `default` of None the field is required."""
        text = self.text(key)
        if not text and default is not None:
            return default
        if not text:
            raise ValueError(f"{self.path_of(key)}: missing")
        try:
            return enum_type(text)
        except ValueError:
            allowed = ", ".join(str(member.value) for member in enum_type)
            raise ValueError(
                f"{self.path_of(key)}: needs one of {allowed}, not {text!r:.60}"
            ) from None


def _with_platform_name(error: ValueError, path: str) -> ValueError:
    """Return the same error with the platform's name of the field."""
    field, colon, reason = str(error).partition(":")
    name = PLATFORM_NAMES.get(field, field)
    return ValueError(f"{path}.{name}{colon}{reason}" if path else f"{name}{colon}{reason}")


def _read_route(entry: SettingsObject) -> Route:
    deadline_us = entry.optional_integer("deadline")
    if deadline_us is None:
        raise ValueError(f"{entry.path_of('deadline')}: missing")
    idempotency = entry.choice("semantics", Idempotency, None)
    values: dict[str, Any] = {
        "name": entry.text("name"),
        "idempotency": idempotency,
        "latency_objective_us": entry.optional_integer("goal_time"),
        "deadline_us": deadline_us,
        "priority_weight": entry.number("importance", 1.0),
        "late_weight": entry.number("late_worth", 0.0),
        "deduplication_scope": entry.choice("group", DeduplicationScope, DeduplicationScope.ALL),
        "deduplication_window_us": entry.integer("memory_span", 0),
        "objective_stretch": entry.number("aim_stretch", 0.0),
    }
    try:
        return Route(**values)
    except ValueError as error:
        raise _with_platform_name(error, entry.path) from None


def _read_routes(root: SettingsObject) -> tuple[Route, ...]:
    routes = tuple(_read_route(entry) for entry in root.objects("lanes"))
    names = [route.name for route in routes]
    for index, name in enumerate(names):
        if name and name in names[:index]:
            raise ValueError(f"lanes[{index}].name: {name!r:.60} stands there twice")
    return routes


def _check_ignored_fields(root: SettingsObject) -> None:
    """Check the fields that no decision uses. Flags among them accept any value."""
    root.object("guarantees").integer("answer_slack", 0)
    root.object("specifics")
    root.text("weight_kind")
    mix = root.object("objective_mix")
    mix.number("whole", 1.0)
    mix.number("worst_class", 0.0)


def read_settings(data: Any) -> Settings:
    """Return the settings from the platform's JSON object.

    Raises `ValueError` that names the field by its path if a value is invalid.
    """
    root = SettingsObject(data)
    limits = root.object("limits")
    guarantees = root.object("guarantees")
    values: dict[str, Any] = {
        "routes": _read_routes(root),
        "gateway_count": root.integer("balancers", 1),
        "gateway_index": root.integer("my_number", 0),
        "zone": root.integer("zone", 0),
        "discovery_is_polled": root.text("discovery") == "ask",
        "tenant_quotas_per_s": tuple(
            tenant.number("quota_per_s", 0.0) for tenant in root.objects("orgs")
        ),
        "over_quota_weight": root.number("over_share_worth", 1.0),
        "max_attempts": limits.integer("attempts_cap", 3),
        "hedging_allowed": limits.flag("parallel_tries"),
        "cancellation_allowed": limits.flag("cancelling"),
        "retry_after_allowed": limits.flag("retry_after"),
        "max_retry_after_us": limits.integer("max_retry_after", 0),
        "poll_interval_us": guarantees.integer("ask_within", 10_000_000),
        "drain_grace_us": guarantees.integer("drain_grace", 0),
        "warm_up_us": guarantees.integer("cold", 0),
        "initial_capacity": guarantees.number("cold_from", 1.0),
        "overload_multiple": guarantees.number("fall_multiple", 1.0),
        "overload_window_us": guarantees.integer("tip_after", 1_000_000),
        "cross_zone_cost": root.object("prices").number("cross_zone", 0.0),
        "clients_mark_retries": root.object("clients").flag("marks_retry"),
    }
    _check_ignored_fields(root)
    try:
        return Settings(**values)
    except ValueError as error:
        raise _with_platform_name(error, "") from None
