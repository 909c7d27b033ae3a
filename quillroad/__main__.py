"""`python -m quillroad`: the entry point of a gateway process.

Without arguments the gateway reads its configuration from the environment variables that the
platform sets. With arguments, or where QUILLROAD_CONFIG names a configuration file, the command
line (`quillroad.cli`) runs instead.
"""

from __future__ import annotations

import os
import sys
from functools import partial

from quillroad.config import load, reload
from quillroad.start import start


def main() -> int:
    """Run a gateway or a command until it ends; return the exit status."""
    if len(sys.argv) > 1 or os.environ.get("QUILLROAD_CONFIG"):
        from quillroad.cli import main as command  # noqa: PLC0415 - not needed without arguments

        return command()
    return start(partial(load, os.environ), partial(reload, os.environ))


if __name__ == "__main__":
    sys.exit(main())
