"""Where something listens."""

from __future__ import annotations

Address = tuple[str, int]
"""An IPv4 address in dotted form, and a port."""
