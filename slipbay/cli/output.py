"""Exit codes and error output, shared by all commands."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

BAD_INPUT = 2
"""Exit code for an error in arguments, files or the configuration."""
NO_ANSWER = 1
"""Exit code if a running router does not answer, or a library is not installed."""


def fail(text: str, code: int = BAD_INPUT) -> NoReturn:
    """Print a line on standard error and end the command."""
    click.echo(f"slipbay: {text}", err=True)
    sys.exit(code)
