"""Names that programs and people outside the process read stay letter for letter.

A rename inside the program can silently change a stored field, a message's tag, a metric or an
option; a process of another version, a peer or an operator's tool then no longer finds it.
`recordings/external_names.txt` lists these names by kind with the files that read or write them;
this test fails where a listed name is gone from those files.
"""

from __future__ import annotations

import ast
import keyword
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
LIST = Path(__file__).parent / "recordings" / "external_names.txt"
ENUM_BASES = {"Enum", "IntEnum", "StrEnum"}
COMMAND_DECORATORS = {"command", "group"}


class NameKind(NamedTuple):
    """One section of the list: what kind of names, the files that have them, and the names."""

    title: str
    patterns: tuple[str, ...]
    names: tuple[str, ...]

    def files(self) -> list[Path]:
        return sorted(file for pattern in self.patterns for file in ROOT.glob(pattern))


def read_list(text: str) -> list[NameKind]:
    """Sections: `# TITLE | PATTERN ...`, then one name a line; the patterns are globs."""
    kinds: list[NameKind] = []
    for section in re.split(r"^# ", text, flags=re.MULTILINE)[1:]:
        head, *lines = section.splitlines()
        title, _, patterns = head.partition(" | ")
        kinds.append(NameKind(title, tuple(patterns.split()), tuple(filter(None, lines))))
    return kinds


def base_names(definition: ast.ClassDef) -> set[str]:
    return {ast.unparse(base).rpartition(".")[2] for base in definition.bases}


def stored_field(row: ast.AnnAssign) -> str:
    """The name of a field of a struct as it is written out: `field(name=...)` or its own."""
    if isinstance(row.value, ast.Call):
        for argument in row.value.keywords:
            if argument.arg == "name":
                return str(ast.literal_eval(argument.value))
    return ast.unparse(row.target)


def is_text(node: ast.expr) -> bool:
    return isinstance(node, ast.Constant) and isinstance(node.value, str)


def class_names(definition: ast.ClassDef) -> Iterator[str]:
    """Stored fields of a struct, fields of the gateway's `Config`, members of an enum of numbers.

    An enum of strings is read and written by its values, which count as strings.
    """
    bases = base_names(definition)
    array = any(argument.arg == "array_like" for argument in definition.keywords)
    for row in definition.body:
        if isinstance(row, ast.AnnAssign):
            if ("Struct" in bases and not array) or definition.name == "Config":
                yield stored_field(row)
        elif isinstance(row, ast.Assign) and bases & ENUM_BASES and not is_text(row.value):
            yield ast.unparse(row.targets[0]).lower()


def is_command(definition: ast.FunctionDef) -> bool:
    return any(
        isinstance(decorator, ast.Call)
        and ast.unparse(decorator.func).split(".")[-1] in COMMAND_DECORATORS
        for decorator in definition.decorator_list
    )


def names_in(source: str) -> set[str]:
    """Strings, stored fields, enum members and commands of a module; docstrings do not count."""
    tree = ast.parse(source)
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    names: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, bytes):
                names.add(node.value.decode("latin-1"))
            elif isinstance(node.value, str):
                names.add(node.value)
        elif isinstance(node, ast.ClassDef):
            names.update(class_names(node))
        elif isinstance(node, ast.FunctionDef) and is_command(node):
            names.add(f"{node.name}()")
    return names


def names_of_text(text: str, path: Path) -> set[str]:
    """Names in a Python module; in another file keys of `key = value` and quoted strings."""
    if path.suffix == ".py":
        return names_in(text)
    return set(re.findall(r"^(\w+)\s*=", text, flags=re.MULTILINE)) | set(
        re.findall(r'"(.*?)"', text)
    )


def missing(kind: NameKind, names: set[str]) -> list[str]:
    return [name for name in kind.names if name not in names]


KINDS = read_list(LIST.read_text(encoding="utf-8"))


def names_now(kind: NameKind) -> set[str]:
    return set().union(*(names_of_text(path.read_text("utf-8"), path) for path in kind.files()))


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.title)
def test_names_of_the_list_stand_in_the_files_that_use_them(kind: NameKind) -> None:
    assert kind.names
    assert all(any(ROOT.glob(pattern)) for pattern in kind.patterns), kind.patterns
    assert missing(kind, names_now(kind)) == []


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.title)
def test_a_planted_rename_is_found(kind: NameKind) -> None:
    """The first name of each kind is renamed wherever it stands in its files."""
    name = next(name for name in kind.names if not keyword.iskeyword(name))
    word = name.removesuffix("()")
    whole_word = re.compile(rf"(?<!\w){re.escape(word)}(?!\w)", re.IGNORECASE)
    names: set[str] = set()
    for path in kind.files():
        names |= names_of_text(whole_word.sub(f"{word}_renamed", path.read_text("utf-8")), path)
    assert name in missing(kind, names)


def test_a_rename_in_the_source_is_found() -> None:
    """One rename of each sort that the reader knows."""
    source = (
        "class Sent(Struct, tag='sent'):\n    kept_as: int = field(name='stored')\n    plain: int\n"
        "class State(Enum):\n    READY = 1\n"
        "@click.command()\ndef status():\n    '''A docstring.'''\n    return b'body'\n"
    )
    found = {"sent", "stored", "plain", "ready", "status()", "body"}
    assert names_in(source) & found == found
    assert "A docstring." not in names_in(source)
    for old, new in [
        ("'sent'", "'posted'"),
        ("'stored'", "'saved'"),
        ("plain", "simple"),
        ("READY", "PREPARED"),
        ("def status", "def report"),
        ("b'body'", "b'content'"),
    ]:
        assert len(found - names_in(source.replace(old, new))) == 1
