"""`quillroad upgrade`, `rollback` and `status`: what an answer means for the exit status."""

from __future__ import annotations

import socket
import threading
from pathlib import Path

import pytest

from quillroad.cli.exit_status import ExitStatus
from quillroad.cli.upgrade import say


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (b"started\ndone\n", ExitStatus.OK),
        (b"error: first\ndone\n", ExitStatus.OK),
        (b"started\nerror: it does not start\n", ExitStatus.FAILED),
        (b"", ExitStatus.FAILED),
    ],
)
def test_the_last_line_of_the_answer_decides(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], answer: bytes, status: ExitStatus
) -> None:
    """A gateway may end in the middle of an upgrade: no answer at all is a failure, too."""
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
        assert say(control, "upgrade") == status
        gateway.join()
    assert received == [b"upgrade\n"]
    assert capsys.readouterr().out == answer.decode()


def test_no_gateway_at_the_socket_is_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    control = tmp_path / "control"
    assert say(control, "status") == ExitStatus.FAILED
    said = capsys.readouterr().err
    assert said == f"quillroad: no gateway at {control}: No such file or directory\n"
