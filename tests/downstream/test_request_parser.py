"""Request parser without sockets: parsing, framing, limits and error messages."""

from __future__ import annotations

import gc
import itertools
from collections.abc import Sequence
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import quillroad.downstream
from quillroad.config import SHORT_BODY
from quillroad.downstream.request_parser import (
    FIELD_OBJECT_BYTES,
    FREE_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    MAX_PIPELINED_REQUESTS,
    MIN_SLICE_BYTES,
    TURN_WORK,
    PendingRequest,
    RequestParser,
)
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
from quillroad.overload.memory_account import MemoryAccount
from tests.net import make_config

PLAIN = RequestValidator(make_config(1))
LONG_BODIES = RequestValidator(make_config(1, admin_addr="127.0.0.1:0"))  # allows long bodies
GET = b"GET /status-check/k HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Timeout-Ms: 900\r\n\r\n"
POST = (
    b"POST /audit/k HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Timeout-Ms: 900\r\n"
    b"Content-Length: %d\r\n\r\n"
)


def new_parser(validator: RequestValidator = PLAIN, budget: int = 1 << 20) -> RequestParser:
    return RequestParser(validator, MemoryAccount(budget), lambda: 200)


def parse_all(parser: RequestParser, pieces: Sequence[bytes]) -> list[PendingRequest]:
    """Feed the pieces one by one, and return the requests taken from the backlog."""
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
    """Data may be split anywhere: in the request line, in a header name, between CR and LF."""
    data = GET % 1 + POST % (2, 300) + b"b" * 300 + b"GET /up HTTP/1.1\r\n\r\n" + GET % 3
    offsets = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    pieces = [data[start:end] for start, end in itertools.pairwise(offsets)]
    requests = parse_all(new_parser(), pieces)
    assert [pending.status for pending in requests] == [200] * 4
    ids = [pending.request.id if pending.request is not None else "" for pending in requests]
    assert ids == ["1", "2", "", "3"]
    assert requests[1].request is not None
    assert requests[1].request.body == b"b" * 300


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 250))
def test_arbitrary_bytes_raise_no_exception(rubbish: bytes, at: int) -> None:
    """An exception here would reach the event loop and leave the connection open."""
    data = GET % 1
    parser = new_parser()
    requests = parse_all(parser, [data[:at] + rubbish + data[at:]])
    assert all(
        400 <= pending.status < 500
        for pending in requests
        if pending.request is None and pending.reason
    )
    assert parser.state in ReadState


def test_pipelined_requests_are_parsed_up_to_the_limit() -> None:
    """Each parsed request uses memory while it waits in the backlog."""
    parser = new_parser()
    parser.append(b"".join(GET % number for number in range(100)))
    parser.feed()
    assert MAX_PIPELINED_REQUESTS <= len(parser.backlog) < 40
    assert parser.unparsed


def test_read_states_follow_the_bytes() -> None:
    parser = new_parser()
    states = []
    for piece in (b"GET /status", b"-check/k HTTP/1.1\r\nRequest-", b"Id: 1\r\n"):
        parser.append(piece)
        parser.feed()
        states.append(parser.state)
    assert states == [ReadState.HEAD] * 3
    parse_all(parser, [b"Request-Timeout-Ms: 9\r\n\r\n" + (POST % (2, 5)) + b"ab"])
    assert (parser.state, parser.size, parser.completed) == (ReadState.BODY, 2, 1)
    assert len(parse_all(parser, [b"cde"])) == 1
    assert (parser.state, parser.completed) == (ReadState.BETWEEN, 2)
    parser.end()
    assert (parser.state, parser.has_more()) == (ReadState.ENDED, False)


def test_a_failed_request_releases_its_partial_body() -> None:
    """Its memory is freed at once, its budget with the response."""
    parser = new_parser(LONG_BODIES)
    assert parse_all(parser, [POST % (1, 200_000) + b"x" * 100_000]) == []
    parser.fail(RequestTimeoutError())
    (failed,) = parser.backlog
    assert (failed.status, failed.reserved, failed.keep_alive) == (408, 100_000, False)
    assert parser.close() == 100_000


def test_a_body_over_the_budget_is_rejected_with_503_for_its_route() -> None:
    """The error names the route, as the request is valid and a retry may succeed."""
    parser = new_parser(LONG_BODIES, budget=70_000)
    (failed,) = parse_all(parser, [POST % (1, 200_000) + b"x" * 100_000])
    assert (failed.status, failed.route, failed.reason) == (503, 2, "no memory for a body")
    assert parser.close() == 0


def test_an_endless_header_or_chunk_extension_is_rejected() -> None:
    """httptools calls no callback before the end of a header name or chunk extension."""
    (head,) = parse_all(
        new_parser(), [b"GET /status-check/k HTTP/1.1\r\n" + b"n" * (3 * HEAD_LIMIT)]
    )
    assert (head.status, head.reason) == (431, "head too long")
    chunked = b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;"
    (framing,) = parse_all(new_parser(), [chunked + b"e" * (20 * HEAD_LIMIT)])
    assert (framing.status, framing.reason) == (413, "request too long")


def test_a_content_length_over_the_limit_is_rejected_before_the_body() -> None:
    (error,) = parse_all(new_parser(), [POST % (1, SHORT_BODY + 1)])
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


def test_a_repeated_header_is_an_error_that_names_it() -> None:
    headers = [(b"Request-Id", b"a"), (b"request-ID", b"b")]
    with pytest.raises(HeaderError, match=r"^header request-id appears more than once$") as error:
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


def test_check_framing_returns_the_body_length() -> None:
    assert (
        check_framing("1.1", [(b"Cookie", b"c"), (b"Tenant", b"t"), (b"Content-Length", b"12")])
        == 12
    )
    assert check_framing("1.1", [(b"Transfer-Encoding", b"Chunked")]) == -1
    assert check_framing("1.0", [(b"Host", b"h")]) == 0


def test_responses_are_serialised_exactly() -> None:
    """Clients and recordings depend on the exact bytes."""
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


def test_downstream_does_not_import_upstream() -> None:
    """A type imported from upstream once coupled the two sides, so neither could change alone."""
    files = list(Path(quillroad.downstream.__file__).parent.glob("*.py"))
    assert len(files) > 10
    for file in files:
        assert "quillroad.upstream" not in file.read_text(), file.name


@pytest.mark.parametrize(
    "data",
    [
        POST % (1, 200_000) + b"x" * 100_000,
        b"GET /status-check/k HTTP/1.1\r\n" + b"n" * (3 * HEAD_LIMIT),
        b"rubbish\r\n\r\n",
        b"POST /audit/k HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        GET % 1 + b"PUT /status-check/k HTTP/1.1\r\nRequest-Id: 1\r\n\r\n",
    ],
)
def test_a_rejected_request_leaves_no_reference_cycle(data: bytes) -> None:
    """The input would stay in memory until the garbage collector runs."""
    gc.collect()
    gc.disable()
    try:
        parser = new_parser(LONG_BODIES, budget=70_000)
        assert any(pending.status >= 400 for pending in parse_all(parser, [data]))
        parser.close()
        del parser
        assert gc.collect() == 0
    finally:
        gc.enable()


def test_one_call_parses_a_bounded_amount_of_work() -> None:
    """A read of very short fields or chunks takes a hundred times as long as one of a body."""
    head = b"POST /audit/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 900\r\n"
    for costly in (
        head + b"a:\r\n" * 1000,
        head + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 20_000,
        head + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + b"a:\r\n" * 20_000,
    ):
        parser = new_parser(LONG_BODIES)
        parser.append(costly)
        while parser.unparsed:
            before = parser._work
            parser.feed()
            assert parser._work - before <= TURN_WORK + MIN_SLICE_BYTES // 4


def test_a_head_is_accounted_for_by_its_objects_and_has_a_limit_of_fields() -> None:
    """A field of four bytes takes more than a hundred bytes of memory."""
    memory = MemoryAccount(1 << 20)
    parser = RequestParser(PLAIN, memory, lambda: 200)
    fields = MAX_HEADER_FIELDS - 10
    parse_all(parser, [b"GET /status-check/k HTTP/1.1\r\n" + b"a:\r\n" * fields])
    assert memory.used + FREE_HEAD_BYTES > fields * FIELD_OBJECT_BYTES
    (failed,) = parse_all(parser, [b"a:\r\n" * 20])
    assert (failed.status, failed.reason) == (431, "head too long")
    memory.give(failed.reserved)
    assert memory.used == parser.close() == 0


def test_a_head_that_does_not_fit_into_the_account_is_rejected() -> None:
    parser = new_parser(budget=100_000)
    (failed,) = parse_all(parser, [b"GET /status-check/k HTTP/1.1\r\n" + b"a:\r\n" * 1000])
    assert (failed.status, failed.route, failed.keep_alive) == (503, 0, False)
