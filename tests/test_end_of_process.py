"""After SIGTERM, accepted requests get their final answer before SIGKILL, even if engines hang."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from loopback import HOST, HttpCall, JsonClient, StandInEngine, run, until
from routers import RouterProcess

MAX_ANSWER_TIME_S = 12.0  # 3.5 s on an idle machine; the deadlines of the requests are 20 s and more


async def never_answer(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
    await asyncio.Event().wait()
    return None


def test_all_requests_are_answered_after_sigterm_while_engines_hang(tmp_path: Path) -> None:
    """Guards against clients that receive only the end of their connection.

    SIGKILL follows 3.7 s after SIGTERM, but queries may run for 20 s. Requests that may safely run again are
    rejected; the others fail, as the router cannot tell whether they ran.
    """

    async def test() -> None:
        engines = [StandInEngine(never_answer), StandInEngine(never_answer)]
        for engine in engines:
            await engine.start()
        router = RouterProcess(tmp_path, {f"s-{n}": engine.port for n, engine in enumerate(engines)})
        await router.start()
        client = JsonClient(*await asyncio.open_connection(HOST, router.ports[0]))
        report = client.query("report", limit=60_000)
        load = client.query("ticket-load", limit=60_000)
        await until(lambda: sum(len(engine.named("POST")) for engine in engines) == 2)
        signalled_at = time.monotonic()
        end_task = asyncio.get_running_loop().create_task(router.end())
        answers = [await client.answer(), await client.answer()]
        assert time.monotonic() - signalled_at < MAX_ANSWER_TIME_S
        codes = {answer["id"]: answer["error"]["code"] for answer in answers}
        assert codes == {report: -32002, load: -32000}
        assert await client.reader.read() == b""
        client.writer.close()
        assert await end_task == 0
        for engine in engines:
            engine.server.close()

    run(test)
