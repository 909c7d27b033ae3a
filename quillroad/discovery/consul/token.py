"""The ACL token of calls to Consul.

It is read from its file with each call, so that it can be replaced while the gateway runs.
"""

from __future__ import annotations

from pathlib import Path


def token_headers(file: Path | None) -> dict[str, str]:
    """Headers with the token, none without a file. Raises `OSError` if it cannot be read."""
    return {"X-Consul-Token": file.read_text().strip()} if file else {}
