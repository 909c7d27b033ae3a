"""`python -m quillroad`: with no arguments what the platform starts, else the command line.

The command line (`quillroad.cli`) is also used where QUILLROAD_CONFIG names a configuration file.
"""

from __future__ import annotations

import os
import sys
from functools import partial

from quillroad.config import load, reload
from quillroad.start import start


def main() -> int:
    """Run the gateway to its end; returns the status to exit with."""
    if len(sys.argv) > 1 or os.environ.get("QUILLROAD_CONFIG"):
        from quillroad.cli import main as command  # noqa: PLC0415 - the platform starts without it

        return command()
    return start(partial(load, os.environ), partial(reload, os.environ))


if __name__ == "__main__":
    sys.exit(main())
