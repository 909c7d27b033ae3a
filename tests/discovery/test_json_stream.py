"""Tests of splitting a byte stream into JSON documents, for any layout and any chunk bounds."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.discovery.json_stream import BrokenDocumentError, JsonDocumentStream

LIMIT = 100_000
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=6,
)
OBJECTS = st.lists(st.dictionaries(st.text(max_size=8), VALUES, max_size=4), max_size=5)
CUTS = st.lists(st.integers(0, 2000), max_size=6)
INDENTS = st.lists(st.sampled_from([None, 0, 1, 2, 8]), min_size=1)


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    bounds = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[start:end] for start, end in pairwise(bounds)]


def serialize(objects: list[dict[str, Any]], indents: list[int | None], end: str) -> bytes:
    texts = (
        json.dumps(document, indent=indents[i % len(indents)]) for i, document in enumerate(objects)
    )
    return "".join(text.replace("\n", end) + end + end for text in texts).encode()


@given(OBJECTS, INDENTS, st.sampled_from(["\n", "\r\n"]), CUTS)
def test_documents_do_not_depend_on_layout_or_chunks(
    objects: list[dict[str, Any]], indents: list[int | None], end: str, cuts: list[int]
) -> None:
    documents = JsonDocumentStream(LIMIT)
    found = [
        json.loads(text)
        for data in split_at(serialize(objects, indents, end), cuts)
        for text in documents.feed(data)
    ]
    assert found == objects and not documents.rest.strip()
    assert list(documents.finish()) == []


@given(OBJECTS, st.sampled_from([None, 2]))
def test_last_document_needs_no_line_break(
    objects: list[dict[str, Any]], indent: int | None
) -> None:
    documents = JsonDocumentStream(LIMIT)
    data = serialize(objects, [indent], "\n").rstrip()
    assert [json.loads(text) for text in [*documents.feed(data), *documents.finish()]] == objects


@pytest.mark.parametrize(
    "data", [b'{"a": "b\n', b'{\n "a": [\n\n', b'{"a":1}\n{"b\n', b"x" * (LIMIT + 1)]
)
def test_document_that_cannot_be_completed_raises_at_once_and_stays_in_rest(data: bytes) -> None:
    """Guards against waiting for its end, which would leave all later documents unread."""
    documents = JsonDocumentStream(LIMIT)
    found = []
    with pytest.raises(BrokenDocumentError):
        for text in documents.feed(data):
            found.append(text)
    assert found == ([b'{"a":1}'] if data.startswith(b'{"a":1}') else [])
    assert documents.rest.strip() and documents.rest.strip() in data


def test_document_of_many_lines_has_a_size_limit() -> None:
    documents = JsonDocumentStream(1000)
    with pytest.raises(BrokenDocumentError):
        for _ in range(200):
            list(documents.feed(b'{"a": [\n'))


@given(st.binary(max_size=300), CUTS)
def test_arbitrary_bytes_raise_only_broken_document_errors(noise: bytes, cuts: list[int]) -> None:
    documents = JsonDocumentStream(LIMIT)
    try:
        for data in split_at(noise, cuts):
            list(documents.feed(data))
    except BrokenDocumentError:
        pass
    assert len(documents.rest) <= len(noise) + 1
