"""Builds of the gateway that are broken in a chosen way, to test upgrades.

`Builds(folder)` puts a module `sitecustomize` on the disk, in a folder that comes before the
gateway's own modules (`PYTHONPATH`); processes that start from then on are that build. Only
processes that take part in a hand-over are changed.
"""

from __future__ import annotations

from pathlib import Path

# Common to all builds: the process kills itself in place of sending the message whose class the
# file `fault` names, if that file names its process id, too, or `new` and it is a new process.
HEAD = """
import os, sys, time
FOLDER = {folder!r}
if "QUILLROAD_SEAT" in os.environ or "GW_ADMIN_ADDR" in os.environ:
    import quillroad.upgrade.channel as channel
    send = channel.Channel.send
    def watched(self, message, fds=()):
        try:
            with open(os.path.join(FOLDER, "fault"), encoding="ascii") as file:
                pid, kind = file.read().split()
        except (OSError, ValueError):
            pid = kind = ""
        if kind == type(message).__name__ and (pid == str(os.getpid()) or (pid == "new" and NEW)):
            os.kill(os.getpid(), 9)
        send(self, message, fds)
    channel.Channel.send = watched
    NEW = os.path.exists(os.path.join(FOLDER, "new"))
"""

BROKEN = {
    "": "",
    "cannot be imported": 'sys.modules["quillroad.engine.engine"] = None',
    "exits at once": "os._exit(3)",
    "hangs before it is ready": "time.sleep(60)",
    "needs too much memory": 'HELD = b"x" * (300 << 20)',
    "speaks an older version": "import quillroad.upgrade.messages as m; m.VERSION = 0",
    "fails its self-test": """
    import quillroad.engine.engine as e
    def accept(self, request, reply, client=None):
        reply(e.Reply(500))
    e.Engine.accept = accept""",
    "serves errors": """
    import quillroad.upgrade.sibling_engine as s
    def accept(self, request, reply, client=None):
        opened = s.Engine.accept(self, request, reply, client)
        self._answer(opened, s.Reply(502))
        return opened
    s.SiblingEngine.accept = accept""",
    "hangs once it serves": """
    import quillroad.upgrade.worker_process as w
    word = w.WorkerProcess._take_step
    def hang(self, what):
        word(self, what)
        if what is w.Step.ACCEPT:
            time.sleep(60)
    w.WorkerProcess._take_step = hang""",
}


class Builds:
    """The build on the disk, in `folder`, which is made here."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir()
        self.put("")

    def put(self, broken: str) -> None:
        """Let processes that start from now on be broken in this way.

        `broken` is a key of `BROKEN`, empty for a good build; raises KeyError for any other.
        """
        text = BROKEN[broken].strip("\n")
        body = "\n".join(
            line if line.startswith("    ") else f"    {line}" for line in text.split("\n")
        )
        (self.folder / "sitecustomize.py").write_text(
            HEAD.format(folder=str(self.folder)) + body + "\n"
        )

    def mark_new(self) -> None:
        """Let `new` in a fault mean the processes that start from now on."""
        (self.folder / "new").touch()

    def fault(self, who: int | str, kind: str) -> None:
        """Let a process end in place of sending its next message of this type.

        `who` is a process id, or `new`; `kind` is the name of the message's class.
        """
        (self.folder / "fault").write_text(f"{who} {kind}")

    def no_fault(self) -> None:
        """Take back what `fault` and `mark_new` have set."""
        for name in ("fault", "new"):
            (self.folder / name).unlink(missing_ok=True)
