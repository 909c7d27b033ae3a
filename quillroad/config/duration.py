"""Durations as people write them, such as `580 ms` or `1.4 s`."""

from __future__ import annotations

import re

from quillroad.config.model import ConfigError

MICROSECONDS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000}  # in one of each unit
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(us|ms|s|min)")


def microseconds(text: str, field: str) -> int:
    """A duration in whole microseconds. Raises `ConfigError` that names the field."""
    found = DURATION.fullmatch(text)
    if found is None:
        raise ConfigError(f"{field}: needs a duration such as '580 ms', not {text!r}")
    return round(float(found[1]) * MICROSECONDS[found[2]])


def within(text: str, field: str, least_s: float, most_s: float) -> float:
    """A duration in seconds, within bounds. Raises `ConfigError` that names the field."""
    seconds = microseconds(text, field) / 1e6
    if not least_s <= seconds <= most_s:
        raise ConfigError(f"{field}: needs a time from {least_s:g} s to {most_s:g} s, not {text!r}")
    return seconds
