"""Requests that are invalid or cannot be parsed, on real sockets."""

from __future__ import annotations

from typing import Any

import pytest

from quillroad.balancing.tenant_quota import is_over_quota
from tests.downstream.clients import read_until_closed
from tests.net import (
    on_loop,
    serve_ok,
    world,
)

VALID_HEADERS = b"Request-Id: z\r\nTenant: acme\r\nRequest-Timeout-Ms: 900\r\n"


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/no-such-class/k", {"method": "GET"}, 400),
        ("/status-check/k", {"method": "POST"}, 400),
        ("/seat-checkout/k", {"method": "GET"}, 400),
        ("/seat-checkout/k", {"Idempotency_Key": None}, 400),
        ("/audit/k", {"Idempotency_Key": "abc"}, 400),
        ("/status-check/k", {"Request_Id": None}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": None}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "soon"}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "-5"}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "0"}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "1.5"}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "9" * 400}, 400),
        ("/", {"method": "GET"}, 404),
        ("/nowhere", {"method": "GET"}, 404),
        ("/up", {"method": "POST"}, 404),
    ],
)
@on_loop
async def test_invalid_requests_get_an_error_and_reach_no_host(
    path: str, headers: dict[str, Any], status: int
) -> None:
    """The framing of each is complete, so the connection serves the next request."""
    async with world(serve_ok) as w, w.client() as client:
        assert (await client.ask(path, **headers)).status == status
        assert (await client.ask()).status == 200  # the connection stays open
        assert len(w.hosts[0].seen) == 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"what is this\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20, 400),
        (b"GET /status-check/k HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: -4\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", 400),
        (
            b"POST /audit/k HTTP/1.1\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
            b"Content-Length: 3\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /audit/k HTTP/1.1\r\nTransfer_Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
            400,
        ),
        (b"POST /audit/k HTTP/1.1\r\nContent_Length: 3\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", 400),
        (b"POST /audit/k HTTP/2.0\r\nContent-Length: 3\r\n\r\nabc", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (
            b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n"
            + b"x" * 0x11000,
            413,
        ),
        (b"GET /status-check/k HTTP/1.1\r\nX: " + b"y" * 20_000, 431),
        (b"GET /" + b"y" * 400_000, 431),
        (b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"e" * 900_000, 413),
        (b"CONNECT a:1 HTTP/1.1\r\n\r\n", 404),
    ],
)
@on_loop
async def test_unparsable_input_closes_only_its_own_connection(data: bytes, status: int) -> None:
    """Input that is not HTTP or has ambiguous framing gets one error and a close; other connections
    are served.
    """
    async with world(serve_ok) as w, w.client() as client, w.client() as other:
        client.writer.write(data)
        assert (await client.receive()).status == status
        assert await read_until_closed(client) == b""
        assert (await other.ask()).status == 200
        assert len(w.hosts[0].seen) == 1


@on_loop
async def test_an_upgrade_request_is_served_without_upgrading() -> None:
    """One response, then a close: the parser cannot go on after an upgrade request."""
    async with world(serve_ok) as w, w.client() as client:
        head = b"GET /status-check/k HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n"
        client.writer.write(head + VALID_HEADERS + b"\r\n")
        got = await client.receive()
        assert (got.status, got.headers["connection"]) == (200, "close")
        assert await read_until_closed(client) == b""


@on_loop
async def test_a_body_of_exactly_the_limit_is_served() -> None:
    async with world(serve_ok) as w, w.client() as client:
        assert (await client.ask("/audit/k", b"x" * 65536)).status == 200
        assert len(w.hosts[0].seen[0].body) == 65536


@on_loop
async def test_a_chunked_request_is_forwarded_with_a_length() -> None:
    async with world(serve_ok) as w, w.client() as client:
        head = b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + VALID_HEADERS + b"\r\n"
        client.writer.write(head + b"3\r\nabc\r\n0\r\n\r\n")
        assert (await client.receive()).status == 200
        assert w.hosts[0].seen[0].body == b"abc"


@on_loop
async def test_a_trailer_does_not_replace_a_header() -> None:
    """A `Request-Id` in the trailers would replace the one that was checked."""
    async with world(serve_ok) as w, w.client() as client:
        head = b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + VALID_HEADERS + b"\r\n"
        client.writer.write(head + b"3\r\nabc\r\n0\r\nRequest-Id: other\r\nX: y\r\n\r\n")
        assert (await client.receive()).status == 200
        seen = w.hosts[0].seen[0].headers
        assert (seen["request-id"], "x" in seen) == ("z", False)


@pytest.mark.parametrize("tenant", ["stranger", None])
@on_loop
async def test_an_unknown_tenant_is_served_as_over_its_quota(tenant: str | None) -> None:
    """Its requests are forwarded with low priority: an unknown name must not bypass quotas."""
    async with world(serve_ok) as w, w.client() as client:
        assert (await client.ask(Tenant=tenant)).status == 200
        assert is_over_quota(w.gateway.engine._balancer, -1)
