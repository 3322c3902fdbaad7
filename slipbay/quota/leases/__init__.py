"""Leases on base shares of quotas: granted by a majority, held, renewed, taken over."""
