"""Routing policy: admission, engine selection, retries and failure detection. No I/O and no clock."""

from slipbay.policy.controller import Controller
from slipbay.policy.settings import Settings

__all__ = ["Controller", "Settings"]
