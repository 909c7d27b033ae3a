"""Tests of `quillroad upgrade`, `rollback` and `status`: the exit status for each answer."""

from __future__ import annotations

import socket
import threading
from pathlib import Path

import pytest

from quillroad.cli.exit_status import ExitStatus
from quillroad.cli.upgrade import send_command


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (b"started\ndone\n", ExitStatus.OK),
        (b"error: first\ndone\n", ExitStatus.OK),
        (b"started\nerror: it does not start\n", ExitStatus.FAILED),
        (b"", ExitStatus.FAILED),
    ],
)
def test_exit_status_follows_the_last_line_of_the_answer(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], answer: bytes, status: ExitStatus
) -> None:
    """A gateway can end during an upgrade, so an empty answer must count as a failure, too."""
    control = tmp_path / "control"
    received: list[bytes] = []
    with socket.socket(socket.AF_UNIX) as listener:
        listener.bind(str(control))
        listener.listen()

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                received.append(connection.recv(100))
                connection.sendall(answer)

        gateway = threading.Thread(target=serve)
        gateway.start()
        assert send_command(control, "upgrade") == status
        gateway.join()
    assert received == [b"upgrade\n"]
    assert capsys.readouterr().out == answer.decode()


def test_missing_socket_prints_one_error_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    control = tmp_path / "control"
    assert send_command(control, "status") == ExitStatus.FAILED
    error_output = capsys.readouterr().err
    assert error_output == f"quillroad: no gateway at {control}: No such file or directory\n"
