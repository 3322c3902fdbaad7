"""Adapter that runs routing policies for the simulator over standard input and output."""
