"""Entry point of the simulator's adapter: ``python -m slipbay.simhost``."""

from __future__ import annotations

import sys

from slipbay.simhost.host import main

if __name__ == "__main__":
    sys.exit(main())
