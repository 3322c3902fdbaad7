"""A request that must not run twice does not, however many other ids come between it and its repeat."""

from __future__ import annotations

import asyncio

import pytest
from crowds import QUERY_FORM
from hypothesis import given
from hypothesis import strategies as st
from loopback import HOST, HttpCall, Loopback, StandInEngine, http_answer, run, until

from slipbay.frontends.request_ids import (
    MIN_UNSAFE_RETENTION_US,
    SAFE_RETENTION_US,
    ClaimResult,
    RequestIds,
)

TXN_NUMBER = 0x9B1F03AA5C7E2D41
OTHER_IDS = 9_000
IDS_ON_A_CONNECTION = 32  # as many as may be open


async def keep_running(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
    """Answers that a load still runs, and every other query at once."""
    if call.method == "DELETE":
        return http_answer(204)
    if f"{TXN_NUMBER:016x}" in (call.headers.get("x-hop-id"), call.path.split("/")[-2]):
        await asyncio.sleep(0.2)
        return http_answer(202)
    return http_answer(200, b"a\tb\tc\n", X_Sheets="1")


def posts_of_the_load(engine: StandInEngine) -> int:
    return sum(call.headers.get("x-hop-id") == f"{TXN_NUMBER:016x}" for call in engine.named("POST"))


@pytest.mark.parametrize("reads", [False, True])
def test_a_load_whose_client_has_left_does_not_run_again_after_many_other_ids(reads: bool) -> None:
    """Guards against ids that are forgotten by their number, which any client can raise."""

    async def test() -> None:
        engine = StandInEngine(keep_running)
        async with Loopback(engine) as net:
            client = await net.client()
            client.raw((QUERY_FORM % (1, b"ticket-load", TXN_NUMBER)).rstrip())
            await until(lambda: posts_of_the_load(engine) == 1)
            client.writer.close()
            for first in range(1, OTHER_IDS, IDS_ON_A_CONNECTION):
                reader, writer = await asyncio.open_connection(HOST, net.port())
                lines = [
                    QUERY_FORM % (offset + 1, b"lookup", first + offset)
                    for offset in range(IDS_ON_A_CONNECTION)
                ]
                writer.write(b"".join(lines))
                await writer.drain()
                if reads:
                    for _ in lines:
                        await reader.readline()
                writer.close()
                await until(lambda: not net.router.server.connections)
            again = await net.client()
            again.raw((QUERY_FORM % (1, b"ticket-load", TXN_NUMBER)).rstrip())
            answer = await asyncio.wait_for(again.answer(), 30)
            assert posts_of_the_load(engine) == 1, answer

    run(test)


class Clock:
    us = 0


@given(
    st.lists(
        st.tuples(
            st.integers(0, 12), st.booleans(), st.booleans(), st.integers(0, MIN_UNSAFE_RETENTION_US // 3)
        ),
        max_size=60,
    )
)
def test_no_id_that_may_have_run_is_granted_within_its_retention(
    steps: list[tuple[int, bool, bool, int]],
) -> None:
    """Each step claims an id, ends it after having run or not, and lets time pass."""
    clock = Clock()
    ids = RequestIds(lambda: clock.us, longest_deadline_us=25_000_000, max_ids=8)
    held_until_us: dict[int, int] = {}
    for id, is_unsafe, has_run, pause_us in steps:
        result = ids.claim(id, is_unsafe, is_keyed=False)
        is_held = held_until_us.get(id, -1) > clock.us
        assert not (is_held and result is ClaimResult.GRANTED)
        if result is ClaimResult.GRANTED:
            ids.end(id, has_run)
            assert (id in ids) == has_run
            if has_run:
                retention_us = MIN_UNSAFE_RETENTION_US if is_unsafe else SAFE_RETENTION_US
                held_until_us[id] = clock.us + retention_us
        elif result is ClaimResult.FULL:
            assert (
                sum(until_us > clock.us - MIN_UNSAFE_RETENTION_US for until_us in held_until_us.values()) >= 8
            )
        clock.us += pause_us


def test_at_the_limit_new_ids_are_refused_until_old_ones_expire() -> None:
    clock = Clock()
    ids = RequestIds(lambda: clock.us, longest_deadline_us=0, max_ids=3)
    for id in range(3):
        assert ids.claim(id, is_unsafe=False, is_keyed=False) is ClaimResult.GRANTED
        ids.end(id, may_have_run=True)
    assert ids.claim(3, is_unsafe=False, is_keyed=False) is ClaimResult.FULL
    assert ids.claim(0, is_unsafe=True, is_keyed=False) is ClaimResult.USED
    clock.us += ids.retry_after_us()
    assert ids.claim(3, is_unsafe=False, is_keyed=False) is ClaimResult.GRANTED


def test_only_keyed_requests_may_come_again_under_the_id_of_a_keyed_one() -> None:
    ids = RequestIds(lambda: 0, longest_deadline_us=0, max_ids=3)
    assert ids.claim(1, is_unsafe=True, is_keyed=True) is ClaimResult.GRANTED
    assert ids.claim(1, is_unsafe=True, is_keyed=True) is ClaimResult.GRANTED
    ids.end(1, may_have_run=True)
    assert ids.claim(1, is_unsafe=True, is_keyed=True) is ClaimResult.GRANTED
    assert ids.claim(1, is_unsafe=False, is_keyed=False) is ClaimResult.USED
