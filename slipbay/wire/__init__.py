"""Parsers and encoders without I/O: they take bytes in any chunking and hold no more than their limits."""
