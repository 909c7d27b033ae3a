"""Hosts write the head of a long answer in chunks, and its body a moment later: is it passed on?"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    ENDS,
    LOOPBACK,
    Deployment,
    Host,
    Process,
    Receipt,
    Record,
    get_request,
    main,
    read_answer,
    read_head,
    trouble,
)

HOSTS = 9
HOST_S = 0.05
PAUSE_S = 0.3  # between the head and the body; "peers take seconds to read or write"
PIECES = 8
PIECE_BYTES = 32 * 1024  # 256 KiB in all, over 64 KiB
CLIENTS = 6
REQUESTS = 5  # of each client


class LongHost(Host):
    """A host whose answers are 256 KiB in chunks; it writes the head first."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDS):
            while True:
                head = await read_head(reader)
                request = head.headers.get("request-id", "")
                self.receipts.append(Receipt(time.monotonic(), self.name, request))
                self._record.note(f"host {self.name} received {request}")
                await asyncio.sleep(self.delay_s)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await asyncio.sleep(PAUSE_S if trouble() else 0.0)
                for _ in range(PIECES):
                    writer.write(b"%x\r\n%b\r\n" % (PIECE_BYTES, b"y" * PIECE_BYTES))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        if not writer.is_closing():
            self._record.note(f"host {self.name}: the gateway closed the connection")
        writer.close()


async def client(port: int, name: str, record: Record) -> dict[str, str]:
    """Send requests one after the other; return what came of those that were not served."""
    failed = {}
    for number in range(REQUESTS):
        request = f"{name}-{number}"
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        sent_at = time.monotonic()
        writer.write(get_request(request))
        answer = await read_answer(reader)
        writer.close()
        record.note(
            f"client {request}: status {answer.status}, {len(answer.body)} bytes after "
            f"{answer.at - sent_at:.3f} s"
        )
        if answer.status != 200 or len(answer.body) != PIECES * PIECE_BYTES:
            failed[request] = f"status {answer.status}, {len(answer.body)} bytes"
    return failed


async def case(record: Record, folder: Path, processes: list[Process]) -> list[str]:
    """Play the case; return the requests whose answers were cut off."""
    deployment = Deployment(record, folder, HOSTS, HOST_S)
    deployment.hosts = [LongHost(host.name, record, HOST_S) for host in deployment.hosts]
    await deployment.start()
    await deployment.start_process("gateway", processes)
    clients = [client(deployment.port, f"c{number}", record) for number in range(CLIENTS)]
    failed = {
        request: outcome
        for outcomes in await asyncio.gather(*clients)
        for request, outcome in outcomes.items()
    }
    deployment.stop()
    # A request that no host received was refused, which the pages allow: it is not counted.
    attempts = Counter(receipt.request for receipt in deployment.receipts())
    record.note(f"{len(failed)} requests not served, {len(attempts)} requests came to hosts")
    return [
        f"{request}: {attempts[request]} hosts gave its answer, the client got {outcome}"
        for request, outcome in failed.items()
        if attempts[request]
    ]


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().with_name("record.txt")))
