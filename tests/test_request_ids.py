"""A request that must not run twice does not, however many other ids come between it and its repeat."""

from __future__ import annotations

import asyncio

import pytest
from crowds import QUERY_FORM
from loopback import HOST, HttpCall, Loopback, StandInEngine, http_answer, run, until

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
