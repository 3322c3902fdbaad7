"""Overload control, engine choice and failure detection for gateways before analytic engines."""

from martenkeel.decide import Controller
from martenkeel.interface import Settings

__all__ = ["Controller", "Settings"]
