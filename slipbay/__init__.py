"""A query router: client and engine connections around the routing policy in ``slipbay.policy``."""
