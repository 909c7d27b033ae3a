"""Read a TOML file as typed values; the first error is reported in one line. Needs `msgspec`."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from quillroad.config.model import ConfigError

T = TypeVar("T")

MAX_VALUE_CHARS = 60  # a longer invalid value is cut off in the error message
# End of the duration pattern. msgspec quotes the pattern, with escapes, in its error for a value
# that does not match; an error that contains this text is replaced by a readable one.
DURATION_PATTERN_END = "(us|ms|s|min)"


def read_toml(path: Path, target_type: type[T]) -> T:
    """Return the contents of a TOML file as a value of `target_type`.

    Raises `ConfigError` if the file cannot be read, is not TOML or does not match the type.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: cannot read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    try:
        return msgspec.convert(data, target_type)
    except msgspec.ValidationError as error:
        raise ConfigError(_one_line_error(str(error), data)) from None


def _one_line_error(message: str, data: dict[str, Any]) -> str:
    """Turn a msgspec error into one line with the field, the value found and the expected form."""
    problem, _, location = message.partition(" - at `$")
    path = location.rstrip("`").lstrip(".")
    unknown = re.search(r"unknown field `([^`]*)`", problem)
    if unknown:
        return f"{_join_path(path, unknown[1])}: no such field"
    missing = re.search(r"missing required field `([^`]*)`", problem)
    if missing:
        return f"{_join_path(path, missing[1])}: missing"
    if DURATION_PATTERN_END in problem:
        problem = "Expected a duration such as '580 ms'"
    value = str(_value_at(path, data))[:MAX_VALUE_CHARS]
    return f"{path}: {problem[0].lower()}{problem[1:]}, not {value!r}"


def _join_path(path: str, field: str) -> str:
    return ".".join(filter(None, (path, field)))


def _value_at(path: str, data: dict[str, Any]) -> Any:
    """Return the value at a path such as `classes[0].aim`.

    If a part of the path does not exist, returns the value of the part before it.
    """
    value: Any = data
    for part in re.findall(r"[^.\[\]]+", path):
        try:
            value = value[int(part)] if isinstance(value, list) else value[part]
        except (KeyError, IndexError, TypeError, ValueError):
            break
    return value
