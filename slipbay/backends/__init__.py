"""Connections to engines: pools, attempts, results, probes and cancellation."""
