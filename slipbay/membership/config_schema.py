"""Schema of ``deploy/fleet.toml``. Imported only if membership is enabled."""

from __future__ import annotations

from dataclasses import fields
from typing import Annotated, Any

from msgspec import Meta, Struct, defstruct

from slipbay.membership.timing import Timing

US_PER_MS = 1_000


class MembershipFile(Struct, forbid_unknown_fields=True, frozen=True):
    """The keys of the file and their defaults."""

    build: Annotated[int, Meta(ge=0, le=255)] = 0
    key_file: str | None = None
    old_key_file: str | None = None
    status: bool = True
    shares: bool = True
    timing: dict[str, Any] = {}


IN_MS = {
    item.name: f"{item.name.removesuffix('_us')}_ms" for item in fields(Timing) if item.name.endswith("_us")
}
"""Key in the file for each field of ``Timing`` that the file has in ms."""
TimingTable = defstruct(
    "TimingTable",
    [(IN_MS.get(item.name, item.name), Annotated[float, Meta(ge=1)] | None, None) for item in fields(Timing)],
    forbid_unknown_fields=True,
    frozen=True,
)


def timing(table: Struct) -> Timing:
    """The timing of a ``TimingTable``; missing keys have their defaults."""
    chosen: dict[str, Any] = {}
    for item in fields(Timing):
        value = getattr(table, IN_MS.get(item.name, item.name))
        if value is None:
            continue
        if item.name in IN_MS:
            chosen[item.name] = int(value * US_PER_MS)
        else:
            chosen[item.name] = value if item.name == "patience" else int(value)
    return Timing(**chosen)
