"""A query router on real sockets round the decision module ``martenkeel``."""
