"""Schema of ``deploy/channel.toml``. Imported only if the channel is enabled."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Part = Annotated[float, Meta(ge=0, le=1)]
# bytes/s; below 600 one message leaves no room for membership probes
Rate = Annotated[float, Meta(ge=600, le=1000)]


class BudgetShares(Struct, forbid_unknown_fields=True, frozen=True):
    """Guaranteed fraction of the rate for each kind of message."""

    decisions: Part = 0.08
    view: Part = 0.38
    comeback: Part = 0.1
    quota: Part = 0.1
    gather: Part = 0.0  # one message every 8 s, for which the rate without a guarantee has room
    lives: Part = 0.083  # per window: three requests of 27 bytes, or two store-opening messages of 39 bytes


class ChannelFile(Struct, forbid_unknown_fields=True, frozen=True):
    """All keys of the file except ``enabled``."""

    rate: Rate = 1000.0  # bytes in any second
    key_file: str | None = None
    old_key_file: str | None = None
    status: bool = True
    parts: BudgetShares = BudgetShares()
