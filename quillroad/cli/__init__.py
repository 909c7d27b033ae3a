"""The command line. Each module defines the commands of one area and calls its package."""

from quillroad.cli.main import main

__all__ = ["main"]
