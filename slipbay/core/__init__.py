"""Requests, attempts and outcomes; nothing here knows a wire."""
