"""Requests out of bytes, with no socket: parser, framing, limits, and errors that say what is
wrong.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import quillroad.downstream
from quillroad.config import SHORT_BODY
from quillroad.downstream.request_parser import MAX_PIPELINED, PendingRequest, RequestParser
from quillroad.downstream.request_validation import RequestValidator
from quillroad.downstream.responses import chunk, rejection, response, streamed_head
from quillroad.downstream.state import ReadState
from quillroad.errors import (
    BadRequestError,
    FramingError,
    HeaderError,
    RequestTimeoutError,
    UnexpectedBodyError,
    UnknownPathError,
    UnknownRouteError,
    WrongMethodError,
)
from quillroad.framing import HEAD_LIMIT, check_framing
from quillroad.overload.body_budget import BodyBudget
from tests.net import make_config

PLAIN = RequestValidator(make_config(1))
LONG = RequestValidator(make_config(1, admin_addr="127.0.0.1:0"))  # takes long bodies
GET = b"GET /status-check/k HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Timeout-Ms: 900\r\n\r\n"
POST = (
    b"POST /audit/k HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Timeout-Ms: 900\r\n"
    b"Content-Length: %d\r\n\r\n"
)


def new_parser(validator: RequestValidator = PLAIN, budget: int = 1 << 20) -> RequestParser:
    return RequestParser(validator, BodyBudget(budget), lambda: 200)


def read(parser: RequestParser, pieces: Sequence[bytes]) -> list[PendingRequest]:
    """Feed the pieces as they come; the backlog is taken as the answers would."""
    taken: list[PendingRequest] = []
    for piece in pieces:
        parser.append(piece)
        while True:
            before = len(parser.unparsed) - parser.parsed
            parser.feed()
            while parser.backlog:
                taken.append(parser.backlog.popleft())
            if not parser.unparsed or len(parser.unparsed) - parser.parsed == before:
                break
    return taken


@settings(max_examples=60, deadline=None)
@given(st.lists(st.integers(1, 900), max_size=12))
def test_any_split_of_the_same_bytes_gives_the_same_requests(cuts: list[int]) -> None:
    """The network cuts anywhere: in the request line, in a header's name, between CR and LF."""
    data = GET % 1 + POST % (2, 300) + b"b" * 300 + b"GET /up HTTP/1.1\r\n\r\n" + GET % 3
    places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    pieces = [data[start:end] for start, end in itertools.pairwise(places)]
    got = read(new_parser(), pieces)
    assert [one.status for one in got] == [200] * 4
    ids = [one.request.id if one.request is not None else "" for one in got]
    assert ids == ["1", "2", "", "3"]
    assert got[1].request is not None
    assert got[1].request.body == b"b" * 300


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 250))
def test_no_bytes_whatever_raise_out_of_the_parser(rubbish: bytes, at: int) -> None:
    """What raised here would end in the event loop, with the connection left as it is."""
    data = GET % 1
    parser = new_parser()
    got = read(parser, [data[:at] + rubbish + data[at:]])
    assert all(400 <= one.status < 500 for one in got if one.request is None and one.reason)
    assert parser.state in ReadState


def test_no_more_is_parsed_ahead_than_may_be() -> None:
    """Each parsed request costs memory before its turn has come."""
    parser = new_parser()
    parser.append(b"".join(GET % number for number in range(100)))
    parser.feed()
    assert MAX_PIPELINED <= len(parser.backlog) < 40
    assert parser.unparsed


def test_read_states_follow_the_bytes() -> None:
    parser = new_parser()
    states = []
    for piece in (b"GET /status", b"-check/k HTTP/1.1\r\nRequest-", b"Id: 1\r\n"):
        parser.append(piece)
        parser.feed()
        states.append(parser.state)
    assert states == [ReadState.HEAD] * 3
    read(parser, [b"Request-Timeout-Ms: 9\r\n\r\n" + (POST % (2, 5)) + b"ab"])
    assert (parser.state, parser.size, parser.completed) == (ReadState.BODY, 2, 1)
    assert len(read(parser, [b"cde"])) == 1
    assert (parser.state, parser.completed) == (ReadState.BETWEEN, 2)
    parser.end()
    assert (parser.state, parser.has_more()) == (ReadState.ENDED, False)


def test_a_request_that_fails_half_way_keeps_nothing_of_its_body() -> None:
    """Its budget goes back with its answer, and its memory at once."""
    parser = new_parser(LONG)
    assert read(parser, [POST % (1, 200_000) + b"x" * 100_000]) == []
    parser.fail(RequestTimeoutError())
    (failed,) = parser.backlog
    assert (failed.status, failed.reserved, failed.keep_alive) == (408, 100_000, False)
    assert parser.close() == 100_000


def test_a_body_over_the_budget_is_an_error_of_its_route_that_a_retry_may_pass() -> None:
    """Only this 503 counts for its route: nothing is wrong with the request."""
    parser = new_parser(LONG, budget=70_000)
    (failed,) = read(parser, [POST % (1, 200_000) + b"x" * 100_000])
    assert (failed.status, failed.route, failed.reason) == (503, 2, "no memory for a body")
    assert parser.close() == 0


def test_a_head_or_framing_without_end_is_bounded() -> None:
    """Neither a header's name nor a chunk's extension reaches a callback before it ends."""
    (head,) = read(new_parser(), [b"GET /status-check/k HTTP/1.1\r\n" + b"n" * (3 * HEAD_LIMIT)])
    assert (head.status, head.reason) == (431, "head too long")
    chunked = b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;"
    (framing,) = read(new_parser(), [chunked + b"e" * (20 * HEAD_LIMIT)])
    assert (framing.status, framing.reason) == (413, "request too long")


def test_a_body_longer_than_the_limit_is_an_error_before_it_comes() -> None:
    (error,) = read(new_parser(), [POST % (1, SHORT_BODY + 1)])
    assert (error.status, error.reason, error.keep_alive) == (413, "body too long", False)


@pytest.mark.parametrize(
    ("method", "url", "headers", "body", "kind", "status", "field"),
    [
        (b"GET", b"nowhere", {}, b"", UnknownPathError, 404, "path"),
        (b"GET", b"/none", {}, b"", UnknownRouteError, 404, "path"),
        (b"GET", b"/none/k", {}, b"", UnknownRouteError, 400, "path"),
        (b"POST", b"/status-check/k", {}, b"", WrongMethodError, 400, "method"),
        (b"GET", b"/status-check/k", {}, b"x", UnexpectedBodyError, 400, "body"),
        (b"POST", b"/seat-checkout/k", {}, b"x", HeaderError, 400, "Idempotency-Key"),
        (
            b"POST",
            b"/audit/k",
            {b"Idempotency-Key": b"a"},
            b"",
            HeaderError,
            400,
            "Idempotency-Key",
        ),
        (b"GET", b"/status-check", {}, b"", HeaderError, 400, "Request-Id"),
        (
            b"GET",
            b"/status-check",
            {b"Request-Id": b"a"},
            b"",
            HeaderError,
            400,
            "Request-Timeout-Ms",
        ),
    ],
)
def test_each_validation_error_names_the_field_and_what_was_expected(
    method: bytes,
    url: bytes,
    headers: dict[bytes, bytes],
    body: bytes,
    kind: type[BadRequestError],
    status: int,
    field: str,
) -> None:
    with pytest.raises(BadRequestError) as error:
        PLAIN.check(method, url, list(headers.items()), bytearray(body), 0.0)
    assert type(error.value) is kind
    assert (error.value.status, error.value.field) == (status, field)
    assert error.value.expected
    assert str(error.value)


def test_a_header_that_stands_twice_is_an_error_that_names_it() -> None:
    headers = [(b"Request-Id", b"a"), (b"request-ID", b"b")]
    with pytest.raises(HeaderError, match=r"^two headers request-id$") as error:
        PLAIN.check(b"GET", b"/status-check/k", headers, bytearray(), 0.0)
    assert (error.value.field, error.value.expected) == ("request-id", "one")


@pytest.mark.parametrize(
    ("version", "headers", "field"),
    [
        ("1.1", [(b"Content_Length", b"3")], "Content_Length"),
        (
            "1.1",
            [(b"Content-Length", b"3"), (b"content-length", b"3")],
            "Content-Length, Transfer-Encoding",
        ),
        ("1.1", [(b"Content-Length", b"3x")], "Content-Length"),
        ("1.1", [(b"Content-Length", b"9" * 20)], "Content-Length"),
        ("1.1", [(b"Transfer-Encoding", b"gzip")], "Transfer-Encoding"),
        ("1.0", [(b"Transfer-Encoding", b"chunked")], "Transfer-Encoding"),
        ("2.0", [], "version"),
    ],
)
def test_each_framing_error_names_the_field(
    version: str, headers: list[tuple[bytes, bytes]], field: str
) -> None:
    with pytest.raises(FramingError) as error:
        check_framing(version, headers)
    assert (error.value.status, error.value.field) == (400, field)
    assert error.value.expected


def test_framing_tells_the_length_of_the_body() -> None:
    assert (
        check_framing("1.1", [(b"Cookie", b"c"), (b"Tenant", b"t"), (b"Content-Length", b"12")])
        == 12
    )
    assert check_framing("1.1", [(b"Transfer-Encoding", b"Chunked")]) == -1
    assert check_framing("1.0", [(b"Host", b"h")]) == 0


def test_bytes_of_responses() -> None:
    """To the byte: clients and recorded runs compare them."""
    assert response(200, b"ok", b"text/plain", None, True) == (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n"
        b"Connection: keep-alive\r\n\r\nok"
    )
    assert response(503, b"", None, 250_000, False) == (
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n"
        b"Connection: close\r\n\r\n"
    )
    assert b"Retry-After" not in rejection(True, 0)
    assert rejection(False, 250_000) == response(503, b"", None, 250_000, False)
    assert streamed_head(None, -1, True, True) == (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n"
    )
    assert streamed_head(b"a/b", 7, False, True) == (
        b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 7\r\n"
        b"Connection: keep-alive\r\n\r\n"
    )
    assert streamed_head(None, -1, False, False) == b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
    assert chunk(b"x" * 17) == b"11\r\n" + b"x" * 17 + b"\r\n"


def test_the_client_side_imports_nothing_of_the_host_side() -> None:
    """Types of a streamed answer came from there, so neither side could be changed alone."""
    files = list(Path(quillroad.downstream.__file__).parent.glob("*.py"))
    assert len(files) > 10
    for file in files:
        assert "quillroad.upstream" not in file.read_text(), file.name
