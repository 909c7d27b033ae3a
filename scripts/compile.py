"""Makes build/compiled: the packages as they are, with the modules on the request's path compiled.

The pure form stays the reference: what is compiled is the same files, by mypyc, and where that can't be done
(no C compiler, no headers, a compiled module that doesn't pass its check) the copy is left as plain Python,
which serves the same at a third to a half. A path file makes the copy come first in .venv; `python -P`
keeps the source tree out. Nothing is compiled inside that, where a stale module would hide an edit.
"""

from __future__ import annotations

import hashlib
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD, DONE = ROOT / "build" / "compiled.new", ROOT / "build" / "compiled"
PACKAGES = ("quillroad",)
HOT = (
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
    "quillroad/engine/request_table.py",
    "quillroad/engine/clock.py",
    "quillroad/engine/deadlines.py",
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
    "quillroad/upgrade/migration.py",  # these two extend compiled classes, which only compiled ones can
    "quillroad/upgrade/sibling_engine.py",
)
# That a compiled module loads, decides and keeps its types: it runs before anything is served by it.
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


def stamp() -> str:
    """What the copy follows from."""
    digest = hashlib.sha256(sys.version.encode())
    for path in sorted([*sources(), ROOT / "requirements-build.txt", Path(__file__)]):
        digest.update(path.relative_to(ROOT).as_posix().encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()


def sources() -> list[Path]:
    found = [path for package in PACKAGES for path in (ROOT / package).rglob("*")]
    return [path for path in found if path.suffix in (".py", ".typed")]


def copy() -> None:
    shutil.rmtree(BUILD, ignore_errors=True)
    for path in sources():
        target = BUILD / path.relative_to(ROOT)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)


def compile_hot() -> str:
    """Compile in the copy; returns why not, or nothing."""
    steps = (
        [sys.executable, "-m", "pip", "-q", "install", "-r", str(ROOT / "requirements-build.txt")],
        [sys.executable, "-m", "mypyc", *HOT],
        [sys.executable, "-c", CHECK],
    )
    for step in steps:
        try:
            done = subprocess.run(
                step, cwd=BUILD, capture_output=True, text=True, timeout=600, check=False
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            return str(error)
        if done.returncode:
            said = done.stderr.strip() or done.stdout.strip() or f"it ended with {done.returncode}"
            return f"{step[2]}: {said.splitlines()[-1]}"
    return ""


def main() -> int:
    wanted, file = stamp(), DONE / "stamp.txt"
    if file.exists() and file.read_text() == wanted:
        return 0
    copy()
    why = compile_hot()
    if why:
        print(f"not compiled, plain Python is run: {why}", file=sys.stderr)
        for path in BUILD.rglob("*.so"):
            path.unlink()
    for folder in ("build", ".mypy_cache"):
        shutil.rmtree(BUILD / folder, ignore_errors=True)
    (BUILD / "stamp.txt").write_text(wanted)
    shutil.rmtree(DONE, ignore_errors=True)
    BUILD.rename(DONE)
    site = Path(sysconfig.get_path("purelib"))
    (site / "quillroad.pth").write_text(
        f"{'../' * len(site.relative_to(ROOT).parts)}build/compiled\n"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
