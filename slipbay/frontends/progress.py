"""Whether a connection gets on: bytes of a message come, or the client takes bytes of its answers."""

from __future__ import annotations

MIN_RECEIVED_BYTES_PER_S = 16  # a client that drips single bytes holds no connection
MIN_TAKEN_BYTES_PER_S = 512
US_PER_S = 1_000_000


class Progress:
    """The bytes that a client has sent and taken since its connection last got on."""

    def __init__(self, now_us: int) -> None:
        self._since_us = now_us
        self._received_bytes = 0
        self._taken_bytes = 0

    def has_moved(self, received_bytes: int, taken_bytes: int, now_us: int) -> bool:
        """Whether the client has sent or taken bytes at the minimum rate since this was last true.

        Args:
            received_bytes: all that the client has sent.
            taken_bytes: all that its system has acknowledged.
            now_us: the current time.
        """
        elapsed_us = now_us - self._since_us
        received = received_bytes - self._received_bytes
        taken = taken_bytes - self._taken_bytes
        is_received_in_time = received * US_PER_S >= MIN_RECEIVED_BYTES_PER_S * elapsed_us
        is_taken_in_time = taken * US_PER_S >= MIN_TAKEN_BYTES_PER_S * elapsed_us
        if not ((received > 0 and is_received_in_time) or (taken > 0 and is_taken_in_time)):
            return False
        self._since_us = now_us
        self._received_bytes = received_bytes
        self._taken_bytes = taken_bytes
        return True
