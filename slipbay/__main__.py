"""Entry point: ``python -m slipbay`` runs a router, or with arguments the command line."""

from __future__ import annotations

import signal
import sys

BLOCKED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)  # until a router handles them, as they would kill it


def main() -> int:
    """Runs a router if there are no arguments, else the command line, which a router does not import."""
    if len(sys.argv) == 1:
        signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
        from slipbay.process import serve_until_end

        return serve_until_end()
    from slipbay.cli import main as command_line

    command_line(prog_name="slipbay")
    return 0


if __name__ == "__main__":
    sys.exit(main())
