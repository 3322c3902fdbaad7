"""The type of network addresses."""

from __future__ import annotations

Address = tuple[str, int]
"""An IPv4 address in dotted decimal form, and a port."""
