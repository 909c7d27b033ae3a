"""Tests of `ResponseParser` without sockets: complete answers, limits and errors."""

from __future__ import annotations

import pytest

from quillroad.config import SHORT_BODY
from quillroad.framing import MAX_FRAMING_RATIO
from quillroad.http_answer import HEAD_LIMIT_BYTES
from quillroad.upstream.response_parser import (
    MAX_INTERIM_ANSWERS,
    BodyTooLongError,
    FramingTooLongError,
    HeadTooLongError,
    MalformedResponseError,
    ResponseError,
    ResponseParser,
    ResponsePhase,
    SurplusDataError,
    TooManyInterimAnswersError,
)
from tests.net import answer
from tests.upstream.helpers import CHUNKED

MAX_BODY_BYTES = 4 * SHORT_BODY
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def parser_fed_with(*pieces: bytes, max_body_bytes: int = MAX_BODY_BYTES) -> ResponseParser:
    parser = ResponseParser(max_body_bytes)
    for piece in pieces:
        parser.feed(piece)
    return parser


@pytest.mark.parametrize(
    ("data", "status", "body"),
    [
        (answer(b"seat 7"), 200, b"seat 7"),
        (answer(b""), 200, b""),
        (CHUNKED + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", 200, b"abc"),
        (CHUNKED + b"1\r\na\r\n0\r\nTrailer: x\r\n\r\n", 200, b"a"),
        (INTERIM + answer(b"after"), 200, b"after"),
        (INTERIM * MAX_INTERIM_ANSWERS + answer(b"after"), 200, b"after"),
        (answer(b"busy", "503 Busy", "Not-Started: 1"), 503, b"busy"),
    ],
)
@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_answer_does_not_depend_on_the_size_of_its_pieces(
    data: bytes, status: int, body: bytes, size: int
) -> None:
    parser = parser_fed_with(*(data[i : i + size] for i in range(0, len(data), size)))
    assert parser.phase is ResponsePhase.COMPLETE
    assert (parser.status, bytes(parser.body), parser.error) == (status, body, None)
    assert parser.keep_alive
    assert b"link" not in parser.headers and b"trailer" not in parser.headers


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"no HTTP at all\r\n\r\n", MalformedResponseError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n", MalformedResponseError),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
            MalformedResponseError,
        ),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * HEAD_LIMIT_BYTES + b"\r\n\r\n", HeadTooLongError),
        (b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * HEAD_LIMIT_BYTES, HeadTooLongError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", BodyTooLongError),
        (
            CHUNKED + b"%x\r\n" % (MAX_BODY_BYTES + 1) + b"x" * (MAX_BODY_BYTES + 1),
            BodyTooLongError,
        ),
        (b"HTTP/1.1 500 No\r\nContent-Length: %d\r\n\r\n" % (SHORT_BODY + 1), BodyTooLongError),
        (INTERIM * (MAX_INTERIM_ANSWERS + 1), TooManyInterimAnswersError),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * HEAD_LIMIT_BYTES, FramingTooLongError),
        (CHUNKED + b"1;" + b"e" * MAX_FRAMING_RATIO * (HEAD_LIMIT_BYTES + 1), FramingTooLongError),
    ],
)
def test_violation_is_reported_as_a_typed_error(data: bytes, error: type[ResponseError]) -> None:
    """If a host sends invalid HTTP or an endless answer, the attempt must fail without filling the
    memory.
    """
    parser = parser_fed_with(data)
    assert type(parser.error) is error
    assert isinstance(parser.error, ResponseError)
    assert parser.phase is not ResponsePhase.COMPLETE
    assert len(parser.body) <= MAX_BODY_BYTES


@pytest.mark.parametrize("extra", [answer(b"again"), b"noise", b"HTTP/1.1 200 OK\r\n"])
@pytest.mark.parametrize("in_one_piece", [True, False])
def test_surplus_data_is_an_error_but_the_answer_stays_valid(
    extra: bytes, in_one_piece: bool
) -> None:
    """A second answer after the first would be given to the next client, so it is an error; the
    first answer is still used.
    """
    data = answer(b"mine")
    parser = parser_fed_with(data + extra) if in_one_piece else parser_fed_with(data, extra)
    assert parser.phase is ResponsePhase.COMPLETE
    assert (parser.status, bytes(parser.body)) == (200, b"mine")
    assert isinstance(parser.error, SurplusDataError | MalformedResponseError)


@pytest.mark.parametrize(
    ("head", "complete"),
    [
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", True),
        (b"HTTP/1.0 200 OK\r\n\r\n", True),
        # Without a declared length, a complete answer and a lost connection look the same.
        (b"HTTP/1.1 200 OK\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n", False),
        (b"HTTP/1.1 500 No\r\nConnection: close\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n", False),
    ],
)
def test_close_completes_only_answers_that_declare_it(head: bytes, complete: bool) -> None:
    """If a host closes early, a partial answer must not be taken for a complete one."""
    parser = (
        parser_fed_with(head + b"half") if head.endswith(b"\r\n\r\n") else parser_fed_with(head)
    )
    assert parser.finish_at_close() is complete
    assert (parser.phase is ResponsePhase.COMPLETE) is complete
    assert not parser.keep_alive


def test_reset_discards_everything_of_the_previous_answer() -> None:
    """An answer must never contain a header, a byte or an error of another client's answer."""
    parser = parser_fed_with(answer(b"busy", "503 Busy", "Not-Started: 1"))
    parser.reset()
    parser.feed(answer(b"ok"))
    assert (parser.status, bytes(parser.body), parser.error) == (200, b"ok", None)
    assert b"not-started" not in parser.headers


def test_body_is_long_by_declared_length_or_by_received_bytes() -> None:
    declared = parser_fed_with(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (SHORT_BODY + 1))
    assert declared.is_long() and not declared.has_unknown_length()
    received = parser_fed_with(CHUNKED + b"%x\r\n" % (SHORT_BODY + 1) + b"x" * (SHORT_BODY + 1))
    assert received.is_long() and received.has_unknown_length()
    partial = parser_fed_with(CHUNKED + b"5\r\nhalf")
    assert not partial.is_long() and partial.has_unknown_length() and partial.is_partial()
    failed = parser_fed_with(b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf")
    assert not failed.is_long() and not failed.has_unknown_length()


def test_streamed_body_is_taken_in_pieces() -> None:
    parser = parser_fed_with(CHUNKED + b"2\r\nab\r\n")
    parser.streamed = True
    assert parser.take_body() == b"ab"
    parser.feed(b"1\r\nc\r\n0\r\n\r\n")
    assert (parser.take_body(), parser.take_body()) == (b"c", b"")
    assert parser.phase is ResponsePhase.COMPLETE


def test_closed_parser_ignores_further_bytes() -> None:
    parser = parser_fed_with(b"HTTP/1.1 200 OK\r\n")
    parser.close()
    parser.feed(b"Content-Length: 0\r\n\r\n")
    assert parser.phase is ResponsePhase.HEAD
    assert not parser.finish_at_close()
