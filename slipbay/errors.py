"""The base class of slipbay's exceptions."""

from __future__ import annotations


class SlipbayError(Exception):
    """Base class of all exceptions of slipbay; callers can distinguish them from those of libraries."""
