"""The ACL token sent with each call to Consul.

The token file is read for every call, so that the token can be replaced while the gateway runs.
"""

from __future__ import annotations

from pathlib import Path


def token_headers(file: Path | None) -> dict[str, str]:
    """Return the token header, or no header if `file` is None.

    Raises `OSError` if the file cannot be read.
    """
    return {"X-Consul-Token": file.read_text().strip()} if file else {}
