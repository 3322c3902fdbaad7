"""Quotas that a tenant's requests share over all routers of the fleet (docs/quota.md)."""
