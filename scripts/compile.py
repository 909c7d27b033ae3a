"""Makes build/compiled: the packages as they are, with the modules on the request's path compiled.

The source tree stays the reference: what is compiled is the same files, by mypyc. Where that can't
be done (no C compiler, no headers, a compiled module that doesn't pass its check) the copy is left
as plain Python, which behaves the same and serves a third to a half as many requests. A path file
makes the copy come first in .venv; `python -P` keeps the source tree out. Nothing is compiled
inside the source tree, where a stale module would hide an edit.
"""

from __future__ import annotations

import hashlib
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COMPILED = ROOT / "build" / "compiled"
STAGING = ROOT / "build" / "compiled.new"  # becomes COMPILED once it is complete
STAMP = "stamp.txt"  # file in COMPILED that holds the digest of what it was made from
REQUIREMENTS = ROOT / "requirements-build.txt"
PATH_FILE = "quillroad.pth"
STEP_TIMEOUT_S = 600
PACKAGES = ("quillroad",)
COMPILED_MODULES = (
    "quillroad/balancing/actions.py",
    "quillroad/balancing/admission.py",
    "quillroad/balancing/attempts.py",
    "quillroad/balancing/balancer.py",
    "quillroad/balancing/concurrency_limit.py",
    "quillroad/balancing/endpoint.py",
    "quillroad/balancing/endpoints.py",
    "quillroad/balancing/events.py",
    "quillroad/balancing/final_answer.py",
    "quillroad/balancing/gateways.py",
    "quillroad/balancing/hedging.py",
    "quillroad/balancing/latency_tracker.py",
    "quillroad/balancing/learning.py",
    "quillroad/balancing/load_shedding.py",
    "quillroad/balancing/outlier_detection.py",
    "quillroad/balancing/overdue.py",
    "quillroad/balancing/rejection.py",
    "quillroad/balancing/request_queue.py",
    "quillroad/balancing/retry.py",
    "quillroad/balancing/selection.py",
    "quillroad/balancing/send_gate.py",
    "quillroad/balancing/settings.py",
    "quillroad/balancing/shutdown.py",
    "quillroad/balancing/slow_start.py",
    "quillroad/balancing/state.py",
    "quillroad/balancing/subsetting.py",
    "quillroad/balancing/tenant_quota.py",
    "quillroad/balancing/timers.py",
    "quillroad/balancing/token_bucket.py",
    "quillroad/balancing/workload_isolation.py",
    "quillroad/balancing/zone_awareness.py",
    "quillroad/balancing/zone_routing.py",
    "quillroad/overload/admission_queue.py",
    "quillroad/overload/admission_tuning.py",
    "quillroad/overload/quota_bucket.py",
    "quillroad/overload/route_queue.py",
    "quillroad/overload/socket_age.py",
    "quillroad/overload/memory_account.py",
    "quillroad/overload/read_buffer.py",
    "quillroad/overload/fast_path_parse.py",
    "quillroad/overload/event_loop_monitor.py",
    "quillroad/overload/event_loop_lag.py",
    "quillroad/downstream/connection_limit.py",
    "quillroad/overload/retry_after.py",
    "quillroad/framing.py",
    "quillroad/engine/reply.py",
    "quillroad/engine/client_request.py",
    "quillroad/engine/requester.py",
    "quillroad/engine/open_request.py",
    "quillroad/engine/shutdown_schedule.py",
    "quillroad/engine/request_table.py",
    "quillroad/engine/request_deadlines.py",
    "quillroad/engine/clock.py",
    "quillroad/engine/deadlines.py",
    "quillroad/engine/attempt_starter.py",
    "quillroad/engine/engine.py",
    "quillroad/downstream/state.py",
    "quillroad/downstream/time_limits.py",
    "quillroad/downstream/responses.py",
    "quillroad/downstream/request_validation.py",
    "quillroad/downstream/request_parser.py",
    "quillroad/downstream/connection_output.py",
    "quillroad/downstream/connection_migration.py",
    "quillroad/downstream/connection.py",
    "quillroad/downstream/request_scheduler.py",
    "quillroad/downstream/input_scheduler.py",
    "quillroad/downstream/early_rejection.py",
    "quillroad/downstream/server.py",
    "quillroad/http_answer.py",
    "quillroad/upstream/outcome.py",
    "quillroad/upstream/response_parser.py",
    "quillroad/upstream/host.py",
    "quillroad/upstream/attempt.py",
    "quillroad/upstream/connection_state.py",
    "quillroad/upstream/connection.py",
    "quillroad/upstream/pool.py",
    # These two extend compiled classes, which only compiled ones can.
    "quillroad/upgrade/migration.py",
    "quillroad/upgrade/sibling_engine.py",
)
# Shows that compiled modules load, decide and keep their types, before anything is served by them.
CHECK = """
import quillroad.downstream.server, quillroad.engine.engine, quillroad.upstream.pool
from quillroad.balancing.balancer import Balancer
from quillroad.balancing import *
b = Balancer(Settings(routes=(Route(latency_objective_us=500_000, deadline_us=900_000),)), 1)
b.handle(1, [EndpointUpdate(UpdateKind.FULL, (Endpoint(1), Endpoint(2)))])
for n in range(2000):
    actions = b.handle(n * 10 + 2, [RequestArrived(n, 0, n * 10 + 900_000)])
    (send,) = [a for a in actions if isinstance(a, SendAttempt)]
    b.handle(n * 10 + 7, [AttemptFinished(n, 0, Outcome.SUCCESS, 5, True)])
"""


class CompilationError(Exception):
    """A step of the compilation failed; the message names the step and says why."""


def source_files() -> list[Path]:
    """The files that the copy consists of."""
    files = [path for package in PACKAGES for path in (ROOT / package).rglob("*")]
    return [path for path in files if path.suffix in (".py", ".typed")]


def source_digest() -> str:
    """A digest of all that the copy follows from: sources, compiler, interpreter, this program."""
    digest = hashlib.sha256(sys.version.encode())
    for path in sorted([*source_files(), REQUIREMENTS, Path(__file__)]):
        digest.update(path.relative_to(ROOT).as_posix().encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()


def copy_sources() -> None:
    """Copy the sources into an empty staging folder."""
    shutil.rmtree(STAGING, ignore_errors=True)
    for path in source_files():
        target = STAGING / path.relative_to(ROOT)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)


def compile_modules() -> None:
    """Install the compiler, compile in the staging folder, and check what came of it.

    Raises CompilationError.
    """
    run_step("-m", "pip", "-q", "install", "-r", str(REQUIREMENTS))
    run_step("-m", "mypyc", *COMPILED_MODULES)
    run_step("-c", CHECK)


def run_step(*arguments: str) -> None:
    """Run the interpreter with these arguments in the staging folder; raises CompilationError."""
    try:
        done = subprocess.run(
            [sys.executable, *arguments],
            cwd=STAGING,
            capture_output=True,
            text=True,
            timeout=STEP_TIMEOUT_S,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise CompilationError(str(error)) from error
    if done.returncode:
        output = done.stderr.strip() or done.stdout.strip() or f"it ended with {done.returncode}"
        raise CompilationError(f"{arguments[1]}: {output.splitlines()[-1]}")


def remove_compiled_modules() -> None:
    """Leave the staging folder as plain Python."""
    for path in STAGING.rglob("*.so"):
        path.unlink()


def install(digest: str) -> None:
    """Put the staging folder in the place of the copy before, and on the path of .venv."""
    for leftover in ("build", ".mypy_cache"):
        shutil.rmtree(STAGING / leftover, ignore_errors=True)
    (STAGING / STAMP).write_text(digest)
    shutil.rmtree(COMPILED, ignore_errors=True)
    STAGING.rename(COMPILED)
    site = Path(sysconfig.get_path("purelib"))
    up_to_root = "../" * len(site.relative_to(ROOT).parts)
    (site / PATH_FILE).write_text(f"{up_to_root}{COMPILED.relative_to(ROOT)}\n")


def is_current(digest: str) -> bool:
    """Whether the copy was made from sources of this digest."""
    stamp = COMPILED / STAMP
    return stamp.exists() and stamp.read_text() == digest


def main() -> int:
    """Make the copy, unless it is there already; returns the exit status, always 0."""
    digest = source_digest()
    if is_current(digest):
        return 0
    copy_sources()
    try:
        compile_modules()
    except CompilationError as error:
        print(f"not compiled, plain Python is run: {error}", file=sys.stderr)
        remove_compiled_modules()
    install(digest)
    return 0


if __name__ == "__main__":
    sys.exit(main())
