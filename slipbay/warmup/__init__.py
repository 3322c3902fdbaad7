"""Warm-up: how a router that starts reaches full service (docs/comeback.md)."""
