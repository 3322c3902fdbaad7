"""Parsers and encoders without I/O. They accept bytes in pieces of any size and buffer a limited amount."""
