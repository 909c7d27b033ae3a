"""Parse durations of configuration files, such as `580 ms` or `1.4 s`."""

from __future__ import annotations

import re

from quillroad.config.model import ConfigError

MICROSECONDS_BY_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000}
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(us|ms|s|min)")


def microseconds(text: str, field: str) -> int:
    """Return a duration in whole microseconds. Raises `ConfigError` with the field's name."""
    match = DURATION.fullmatch(text)
    if match is None:
        raise ConfigError(f"{field}: needs a duration such as '580 ms', not {text!r}")
    return round(float(match[1]) * MICROSECONDS_BY_UNIT[match[2]])


def within(text: str, field: str, min_s: float, max_s: float) -> float:
    """Return a duration in seconds, which must lie from `min_s` to `max_s`.

    Raises `ConfigError` with the field's name if it does not, or if the text is no duration.
    """
    seconds = microseconds(text, field) / 1e6
    if not min_s <= seconds <= max_s:
        raise ConfigError(f"{field}: needs a time from {min_s:g} s to {max_s:g} s, not {text!r}")
    return seconds
