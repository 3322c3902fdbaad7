"""SIGTERM while engines hang: what was taken gets its final answer before SIGKILL may come."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from loopback import HOST, HttpCall, JsonClient, StandInEngine, run, until
from routers import RouterProcess

FAR_BELOW_THE_DEADLINES_S = 12.0  # those below are 20 s and more; on a machine of its own it is 3.5 s


async def hang(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
    await asyncio.Event().wait()
    return None


def test_sigterm_while_engines_hang_leaves_nobody_without_a_final_answer(tmp_path: Path) -> None:
    """Guards against clients that hear nothing but the end of their connection: SIGKILL comes 3.7 s after
    SIGTERM, and queries may run on for 20 s. What may safely run again is refused; of the rest nothing is
    promised."""

    async def test() -> None:
        engines = [StandInEngine(hang), StandInEngine(hang)]
        for engine in engines:
            await engine.start()
        router = RouterProcess(tmp_path, {f"s-{n}": engine.port for n, engine in enumerate(engines)})
        await router.start()
        client = JsonClient(*await asyncio.open_connection(HOST, router.ports[0]))
        report = client.query("report", limit=60_000)
        load = client.query("ticket-load", limit=60_000)
        await until(lambda: sum(len(engine.named("POST")) for engine in engines) == 2)
        told = time.monotonic()
        ending = asyncio.get_running_loop().create_task(router.end())
        answers = [await client.answer(), await client.answer()]
        assert time.monotonic() - told < FAR_BELOW_THE_DEADLINES_S
        codes = {answer["id"]: answer["error"]["code"] for answer in answers}
        assert codes == {report: -32002, load: -32000}
        assert await client.reader.read() == b""
        client.writer.close()
        assert await ending == 0
        for engine in engines:
            engine.server.close()

    run(test)
