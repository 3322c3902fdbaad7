"""A router in this process, with stand-ins for its engines and clients, on free loopback ports.

Everything runs in one event loop. Tests wait for conditions, never for a fixed time.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

from slipbay.config.model import Config
from slipbay.config.mysql import load_mysql
from slipbay.config.router import from_json
from slipbay.config.store import load_store
from slipbay.policy import Controller
from slipbay.rig.standins import (
    HOST,
    HttpCall,
    StandInEndpointList,
    StandInEngine,
    event,
    host,
    http_answer,
    one_page,
    quietly,
    serve,
)
from slipbay.router import Router
from slipbay.scatter_gather.config_schema import ScatterGatherPlan

__all__ = [
    "HOST",
    "SETTINGS",
    "TXN",
    "HttpCall",
    "JsonClient",
    "Loopback",
    "StandInEndpointList",
    "StandInEngine",
    "event",
    "host",
    "http_answer",
    "one_page",
    "quietly",
    "run",
    "serve",
    "until",
]

TXN = "9b1f03aa5c7e2d41"
_last_txn = 0  # each query gets the next number as its txn
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "zone": 0,
    "dcs": ["room-a"],
    "kinds": ["std-8"],
    "tickUs": 5000,
    "familyInfo": {
        "threadsByClass": [1, 2, 2],
        "isLoad": [False, False, True],
        "cpuOfKind": [8],
        "progressUs": 1_000_000,
        "lanesCount": True,
        "blockedByLoads": [False, False, False],
    },
    "policyLimits": {
        "attemptsCap": 4,
        "connIdleUs": 30_000_000,
        "connectTimeoutUs": 250_000,
        "maxRetryAfterUs": 500_000,
        "mayCancel": True,
        "retryAfter": True,
    },
    "profiles": [
        {"name": "lookup", "effect": "retryable", "promiseUs": 500_000, "giveUpUs": 2_500_000, "gain": 1.0},
        {
            "name": "report",
            "effect": "retryable",
            "promiseUs": 2_000_000,
            "giveUpUs": 20_000_000,
            "gain": 15.0,
        },
        {
            "name": "ticket-load",
            "effect": "fragile",
            "promiseUs": 4_000_000,
            "giveUpUs": 25_000_000,
            "gain": 15.0,
        },
    ],
    "realms": [{"name": "ishikari-fuel"}, {"name": "tokachi-oil"}],
    "rules": {
        "answerSlackUs": 20_000,
        "coldShare": 0.31,
        "fallMultiple": 3.0,
        "fallUs": 3_000_000,
        "rampTimeUs": 13_000_000,
        "extraFree": 50.0,
        "repeatRatio": 0.2,
        "countedOverUs": 10_000_000,
    },
}


def run(test: Callable[[], Coroutine[Any, Any, None]], seconds: float = 60.0) -> None:
    """Runs a test to its end; fails it after a time limit."""

    async def limited() -> None:
        await asyncio.wait_for(test(), seconds)

    asyncio.run(limited())


async def until(condition: Callable[[], bool]) -> None:
    """Waits until the condition is true; the time limit of ``run`` ends a wait that never does."""
    while not condition():
        await asyncio.sleep(0.001)


class JsonClient:
    """A JSON-RPC client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.id = 0

    def send(self, method: str, id: int | None = None, **params: Any) -> int:
        self.id = id if id is not None else self.id + 1
        self.raw(json.dumps({"jsonrpc": "2.0", "id": self.id, "method": method, "params": params}).encode())
        return self.id

    def raw(self, line: bytes) -> None:
        self.writer.write(line + b"\n")

    def query(self, method: str = "lookup", sql: str = "SELECT 1", limit: int = 2000, **params: Any) -> int:
        global _last_txn
        _last_txn += 1
        self.txn = f"{_last_txn:016x}"
        return self.send(
            method,
            **{
                "txn": self.txn,
                "limit": limit,
                "cpu": 80.0,
                "data": base64.b64encode(sql.encode()).decode(),
                **params,
            },
        )

    async def answer(self) -> dict[str, Any]:
        line = await self.reader.readline()
        assert line, "the connection ended"
        message: dict[str, Any] = json.loads(line)
        return message

    def cancel(self, id_or_txn: int | str) -> None:
        params = {"id" if isinstance(id_or_txn, int) else "txn": id_or_txn}
        self.raw(json.dumps({"jsonrpc": "2.0", "method": "cancelRequest", "params": params}).encode())


class Loopback:
    """A router in this process with stand-in engines and a stand-in endpoint list service."""

    def __init__(
        self, *engines: StandInEngine, mysql_file: Path | None = None, store_file: Path | None = None
    ) -> None:
        self.engines = engines
        self.journal = StandInEndpointList()
        self._mysql_file = mysql_file
        self._store_file = store_file
        self.settings = SETTINGS

    def config(self, hosts: list[dict[str, Any]]) -> Config:
        config = from_json(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:0",
                    "seed": "1",
                    "journal": f"{HOST}:{self.journal.port}",
                    "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
                    "known": {"pos": 1, "entries": [event(1, *hosts, whole=True)]},
                    "settings": self.settings,
                }
            ),
            {},
        )
        if self._store_file is not None:
            config = replace(config, store=load_store(config, self._store_file))
        if self._mysql_file is not None:
            config = replace(config, mysql=load_mysql(config, self._mysql_file))
        return config

    async def __aenter__(self) -> Loopback:
        await self.journal.start()
        for engine in self.engines:
            await engine.start()
        hosts = [host(f"s-{number}", engine.port) for number, engine in enumerate(self.engines)]
        self.router = Router(self.config(hosts), asyncio.get_running_loop(), scatter_gather=self.scatter_plan)
        await self.router.start()
        if self.router.idempotency is not None and self.wait_for_store:
            await until(lambda: self.router.idempotency is not None and self.router.idempotency.is_ready)
        return self

    wait_for_store = True
    scatter_plan: ScatterGatherPlan | None = None

    async def __aexit__(self, *exception: object) -> None:
        for server in [self.journal.server, *(engine.server for engine in self.engines)]:
            server.close()
        self.router.server.drain(0)
        if self.router.idempotency is not None:
            self.router.idempotency.close()

    @property
    def policy_controller(self) -> Controller:
        controller = self.router.dispatcher.policy
        assert isinstance(controller, Controller)
        return controller

    def port(self, number: int = 0) -> int:
        """Returns a port of the router: number 0 is JSON-RPC, number 1 is MySQL."""
        return self.router.server.ports[number]

    async def client(self) -> JsonClient:
        return JsonClient(*await asyncio.open_connection(HOST, self.port()))
