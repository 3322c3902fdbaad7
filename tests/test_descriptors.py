"""A router with few descriptors: idle clients use up their share while discovery is unavailable."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path

import pytest
from loopback import HOST, JsonClient, StandInEndpointList, StandInEngine, event, host, run, until
from test_process import ROOT, configure

from slipbay.config.model import Limits

LIMITED_START = (
    "import os, resource, sys\n"
    "resource.setrlimit(resource.RLIMIT_NOFILE, (int(sys.argv[1]), int(sys.argv[1])))\n"
    "os.execv(sys.executable, [sys.executable, '-m', 'slipbay'])\n"
)


@pytest.mark.parametrize("sockets", [64, 65, 100, 256, 1024, 4096])
def test_descriptors_are_reserved_for_the_journal_and_engines(sockets: int) -> None:
    limits = Limits(1.0, 64, sockets)
    assert limits.client_sockets >= sockets // 3  # guaranteed
    assert limits.engine_sockets >= 8
    assert sockets - limits.client_sockets - limits.engine_sockets >= 31  # the process itself needs about 12


@pytest.mark.parametrize("sockets", [64, 256])
def test_idle_clients_at_the_limit_block_neither_discovery_nor_new_clients(
    tmp_path: Path, sockets: int
) -> None:
    """Guards against a router without a descriptor for the journal when discovery is available again."""

    async def test() -> None:
        engine = StandInEngine()
        journal = StandInEndpointList()
        await engine.start()
        bound = socket.socket()  # refuses connections until it listens
        bound.bind((HOST, 0))
        config = configure(
            tmp_path,
            journal=f"{HOST}:{bound.getsockname()[1]}",
            limits={"cores": 1, "memory_mb": 64, "sockets": sockets},
            known={"pos": 1, "entries": [event(1, host("s-0", 1), whole=True)]},  # nothing listens there
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            LIMITED_START,
            str(sockets),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "GW_CONFIG": str(config)},
        )
        assert process.stderr is not None
        while "listens at" not in (line := (await process.stderr.readline()).decode()):
            assert line, "the router did not start"
        port = int(line.rpartition(":")[2])

        async def client() -> JsonClient:
            return JsonClient(*await asyncio.open_connection(HOST, port))

        max_clients = Limits(1.0, 64, sockets).client_sockets
        first = await client()
        first.send("alive")
        assert (await first.answer())["result"] == {"well": True}  # although discovery is unavailable
        idle = [await client() for _ in range(max_clients + 8)]  # the last 8 wait in the backlog
        for number, idle_client in enumerate(idle):
            if number % 2:
                idle_client.send("alive")
        await until(lambda: len(os.listdir(f"/proc/{process.pid}/fd")) > max_clients)
        journal.server = await asyncio.start_server(journal._serve, sock=bound)
        await until(lambda: bool(journal.asked))
        assert journal.asked[-1] == b"tail 1\n"
        journal.tell(event(2, host("s-0", engine.port), host("s-1", engine.port)))
        new = await client()
        new.query("report", limit=15_000)
        answer = await new.answer()
        assert "result" in answer, answer
        process.terminate()
        assert await process.wait() == 0
        log = (await process.stderr.read()).decode()
        assert "no connection can be accepted" not in log and "no sockets are left" not in log, log
        assert "Traceback" not in log
        for server in (engine.server, journal.server):
            server.close()

    run(test)


def test_a_router_restarted_without_discovery_is_ready_at_once_and_ends_on_signals(
    tmp_path: Path,
) -> None:
    """It uses the endpoint list of its configuration, and an engine of that list serves its requests."""

    async def test() -> None:
        engine = StandInEngine()
        await engine.start()
        with socket.socket() as closed:
            closed.bind((HOST, 0))
            config = configure(
                tmp_path,
                journal=f"{HOST}:{closed.getsockname()[1]}",
                known={"pos": 1, "entries": [event(1, host("s-0", engine.port), whole=True)]},
            )
            for incarnation in range(2):
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "slipbay",
                    cwd=ROOT,
                    stderr=asyncio.subprocess.PIPE,
                    env={**os.environ, "GW_CONFIG": str(config)},
                )
                assert process.stderr is not None
                while "listens at" not in (line := (await process.stderr.readline()).decode()):
                    assert line, "the router did not start"
                port = int(line.rpartition(":")[2])
                if incarnation:
                    client = JsonClient(*await asyncio.open_connection(HOST, port))
                    client.send("alive")
                    assert (await client.answer())["result"] == {"well": True}
                    client.query()
                    assert "result" in (await client.answer())
                process.terminate()
                process.terminate()
                assert await process.wait() == 0
                await process.stderr.read()
        engine.server.close()

    run(test)
