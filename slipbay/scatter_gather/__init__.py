"""Scattered queries: one request is sent as parts, and answered when more waiting would cost more than it
gains."""
