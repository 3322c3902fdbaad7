"""A short, seeded run of the soak of cuts; ``cut_soak.py`` plays it with many seeds."""

from __future__ import annotations

from cut_soak import play_seeds
from loopback import run


def test_nothing_begins_at_engines_after_its_end_while_links_are_cut() -> None:
    """Guards against queries that arrive when a cut ends, after the router has let go of them."""

    async def test() -> None:
        assert await play_seeds(0, 8) == {}

    run(test)
