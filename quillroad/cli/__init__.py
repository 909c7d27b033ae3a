"""The command line: one file a command, each of which calls the package that it belongs to."""

from quillroad.cli.main import main

__all__ = ["main"]
