"""Reads a TOML file as typed values, with one line for what is wrong first. Needs `msgspec`."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from quillroad.config.model import ConfigError

T = TypeVar("T")

LONGEST_VALUE = 60  # characters of a wrong value, in the error
# What msgspec says of a duration that does not match its pattern, which it shows with escapes.
DURATION_PATTERN = "(us|ms|s|min)"


def read_toml(path: Path, kind: type[T]) -> T:
    """A TOML file as a value of this kind. Raises `ConfigError`."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: cannot read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(_explain(str(error), data)) from None


def _explain(text: str, data: dict[str, Any]) -> str:
    """One line with the field, the value there and what was wanted, out of msgspec's."""
    what, _, where = text.partition(" - at `$")
    path = where.rstrip("`").lstrip(".")
    unknown = re.search(r"unknown field `([^`]*)`", what)
    if unknown:
        return f"{_joined(path, unknown[1])}: no such field"
    missing = re.search(r"missing required field `([^`]*)`", what)
    if missing:
        return f"{_joined(path, missing[1])}: missing"
    if DURATION_PATTERN in what:
        what = "Expected a duration such as '580 ms'"
    value = str(_value_at(path, data))[:LONGEST_VALUE]
    return f"{path}: {what[0].lower()}{what[1:]}, not {value!r}"


def _joined(path: str, field: str) -> str:
    return ".".join(filter(None, (path, field)))


def _value_at(path: str, data: dict[str, Any]) -> Any:
    """The value at a path such as `classes[0].aim`, as far as it can be followed."""
    value: Any = data
    for part in re.findall(r"[^.\[\]]+", path):
        try:
            value = value[int(part)] if isinstance(value, list) else value[part]
        except (KeyError, IndexError, TypeError, ValueError):
            break
    return value
