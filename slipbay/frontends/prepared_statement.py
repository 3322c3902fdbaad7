"""A statement that a client has prepared, with the long parameters sent before its next execution."""

from __future__ import annotations

from dataclasses import dataclass, field


class LongData:
    """Long parameters of one execution, sent in chunks of any size and number.

    Appending takes time by the length of the chunk alone, however much is held.
    """

    def __init__(self) -> None:
        self._parameters: dict[int, bytearray] = {}
        self.size_bytes = 0

    def append(self, parameter: int, chunk: bytes) -> None:
        """Add a chunk to the parameter with this position, from 0."""
        self._parameters.setdefault(parameter, bytearray()).extend(chunk)
        self.size_bytes += len(chunk)

    def take(self) -> dict[int, bytes]:
        """Remove and return the parameters by position."""
        taken = {position: bytes(data) for position, data in self._parameters.items()}
        self.clear()
        return taken

    def clear(self) -> None:
        """Discard all parameters."""
        self._parameters = {}
        self.size_bytes = 0


@dataclass(slots=True, eq=False)
class PreparedStatement:
    """A statement prepared by a client, under a number given by this router.

    Each engine connection has its own number for the same statement.
    """

    sql: bytes
    parameter_count: int
    types: bytes = b""
    long_data: LongData = field(default_factory=LongData)
