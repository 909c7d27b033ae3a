"""The settings as the platform tells them: an object read field by field, each checked for its kind and named
by its path where it can't work."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar

from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings

Choice = TypeVar("Choice", bound=Enum)

MOST = 2**53  # of any number: up to it whole ones are exact in JSON, and a time fits every clock
# Fields of `Settings` and `Route` by the names that the platform has for them, where these differ.
NAMES = {
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


class Part:
    """One object of the settings. An absent field and null are the same; unknown fields are passed over. All
    readers raise `ValueError` with the field's path."""

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, Mapping):
            raise ValueError(f"{path}: needs an object, not {data!r:.60}")
        self._data, self.path = data, path

    def at(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def part(self, key: str) -> Part:
        value = self._data.get(key)
        return Part({} if value is None else value, self.at(key))

    def parts(self, key: str) -> list[Part]:
        value = self._data.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise ValueError(f"{self.at(key)}: needs a list, not {value!r:.60}")
        return [Part(one, f"{self.at(key)}[{i}]") for i, one in enumerate(value)]

    def number(self, key: str, default: float) -> float:
        value = self._data.get(key)
        if value is None:
            return default
        fits = isinstance(value, int | float) and not isinstance(value, bool)
        if not fits or not math.isfinite(value) or abs(value) > MOST:
            raise ValueError(f"{self.at(key)}: needs a number, not {value!r:.60}")
        return float(value)

    def maybe_whole(self, key: str) -> int | None:
        value = self._data.get(key)
        if value is None:
            return None
        number = self.number(key, 0.0)
        if number != int(number):
            raise ValueError(f"{self.at(key)}: needs a whole number, not {value!r:.60}")
        return int(value)

    def whole(self, key: str, default: int) -> int:
        value = self.maybe_whole(key)
        return default if value is None else value

    def flag(self, key: str) -> bool:
        return bool(self._data.get(key))

    def text(self, key: str) -> str:
        value = self._data.get(key)
        if value is not None and not isinstance(value, str):
            raise ValueError(f"{self.at(key)}: needs a text, not {value!r:.60}")
        return value or ""

    def choice(self, key: str, kind: type[Choice], default: Choice | None) -> Choice:
        text = self.text(key)
        if not text and default is not None:
            return default
        if not text:
            raise ValueError(f"{self.at(key)}: missing")
        try:
            return kind(text)
        except ValueError:
            wanted = ", ".join(str(one.value) for one in kind)
            raise ValueError(f"{self.at(key)}: needs one of {wanted}, not {text!r:.60}") from None


def _named(error: ValueError, path: str) -> ValueError:
    """The same error by the platform's name for the field."""
    field, colon, why = str(error).partition(":")
    name = NAMES.get(field, field)
    return ValueError(f"{path}.{name}{colon}{why}" if path else f"{name}{colon}{why}")


def _route(lane: Part) -> Route:
    deadline_us = lane.maybe_whole("deadline")
    if deadline_us is None:
        raise ValueError(f"{lane.at('deadline')}: missing")
    effect = lane.choice("semantics", Idempotency, None)
    values: dict[str, Any] = {
        "name": lane.text("name"),
        "idempotency": effect,
        "latency_objective_us": lane.maybe_whole("goal_time"),
        "deadline_us": deadline_us,
        "priority_weight": lane.number("importance", 1.0),
        "late_weight": lane.number("late_worth", 0.0),
        "deduplication_scope": lane.choice("group", DeduplicationScope, DeduplicationScope.ALL),
        "deduplication_window_us": lane.whole("memory_span", 0),
        "stream": lane.flag("stream"),
        "objective_stretch": lane.number("aim_stretch", 0.0),
    }
    try:
        return Route(**values)
    except ValueError as error:
        raise _named(error, lane.path) from None


def read_settings(data: Any) -> Settings:
    """Settings from the object that the platform gives. Raises `ValueError` that names the field."""
    told = Part(data)
    limits, rules, mix = told.part("limits"), told.part("guarantees"), told.part("objective_mix")
    routes = tuple(_route(lane) for lane in told.parts("lanes"))
    names = [route.name for route in routes]
    for i, name in enumerate(names):
        if name and name in names[:i]:
            raise ValueError(f"lanes[{i}].name: {name!r:.60} stands there twice")
    values: dict[str, Any] = {
        "routes": routes,
        "gateway_count": told.whole("balancers", 1),
        "gateway_index": told.whole("my_number", 0),
        "zone": told.whole("zone", 0),
        "discovery_is_polled": told.text("discovery") == "ask",
        "tenant_quotas_per_s": tuple(org.number("quota_per_s", 0.0) for org in told.parts("orgs")),
        "over_quota_weight": told.number("over_share_worth", 1.0),
        "max_attempts": limits.whole("attempts_cap", 3),
        "hedging_allowed": limits.flag("parallel_tries"),
        "cancellation_allowed": limits.flag("cancelling"),
        "probing": limits.flag("probing"),
        "retry_after_allowed": limits.flag("retry_after"),
        "max_retry_after_us": limits.whole("max_retry_after", 0),
        "poll_interval_us": rules.whole("ask_within", 10_000_000),
        "drain_grace_us": rules.whole("drain_grace", 0),
        "warm_up_us": rules.whole("cold", 0),
        "initial_capacity": rules.number("cold_from", 1.0),
        "overload_multiple": rules.number("fall_multiple", 1.0),
        "overload_window_us": rules.whole("tip_after", 1_000_000),
        "answer_slack_us": rules.whole("answer_slack", 0),
        "cross_zone_cost": told.part("prices").number("cross_zone", 0.0),
        "warm_keys": told.part("specifics").flag("warm_keys"),
        "clients_mark_retries": told.part("clients").flag("marks_retry"),
        "hints_are_sizes": told.text("weight_kind") in ("nominal", "rough"),
        "weight_whole": mix.number("whole", 1.0),
        "weight_worst_class": mix.number("worst_class", 0.0),
    }
    try:
        return Settings(**values)
    except ValueError as error:
        raise _named(error, "") from None
