"""A port kept for a process that is killed and started again."""

from __future__ import annotations

import gc
import socket

import pytest

from testbed.ports import LOOPBACK, ReservedPort, free_port

LISTEN_BACKLOG = 1


def listening(port: int) -> socket.socket:
    """A socket as the gateway's acceptor opens it."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    listener.listen(LISTEN_BACKLOG)
    return listener


def test_a_reserved_port_is_there_again_for_the_next_process() -> None:
    """The gateway listens, serves a connection, is gone, and the next one listens."""
    reserved = ReservedPort()
    for _ in range(3):
        with (
            listening(reserved.number) as listener,
            socket.create_connection((LOOPBACK, reserved.number)),
        ):
            accepted, _ = listener.accept()
            accepted.close()  # the side that closes first keeps the port in TIME_WAIT


def test_between_two_processes_nobody_else_is_given_a_reserved_port() -> None:
    """A host of another test run listened at a killed gateway's port and answered its `/up`."""
    reserved = ReservedPort()
    listening(reserved.number).close()
    with socket.socket() as other, pytest.raises(OSError, match="Address already in use"):
        other.bind((LOOPBACK, reserved.number))
    with pytest.raises(ConnectionRefusedError):  # and nothing answers there meanwhile
        socket.create_connection((LOOPBACK, reserved.number))


def test_a_port_is_free_again_once_its_reservation_is_gone() -> None:
    reserved = ReservedPort()
    number = reserved.number
    del reserved
    gc.collect()
    with socket.socket() as other:
        other.bind((LOOPBACK, number))


def test_a_free_port_can_be_bound_at_once() -> None:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as bound:
            bound.bind((LOOPBACK, free_port(kind)))
