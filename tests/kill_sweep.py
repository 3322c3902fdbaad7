"""Kills a router process repeatedly while clients send loads through both frontends.

Checks that the answers to the clients agree with what the engines ran.

``python tests/kill_sweep.py --kills 300 --seed 1`` runs a long sweep; CI runs a short one (test_kills.py).
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from loopback import HOST, HttpCall, JsonClient, StandInEngine, http_answer, one_page
from mysql_standins import MysqlClient, MysqlEngine, MysqlError, mysql_file
from routers import RouterProcess, store_file

from slipbay.idempotency.request_guard import EARLIER
from slipbay.store.disk import Folder
from slipbay.store.inspect import inspect_store

Attempt = Callable[[RouterProcess, str, int], Awaitable[bool]]

MAX_RESPONSE_S = 0.25  # then the engine answers that the query still runs
CLIENTS = 4  # for each frontend


class CountingEngine(StandInEngine):
    """Runs each load for a random time and counts its runs; an answer contains the number of its run.

    Like a real engine, it answers a call after 250 ms at most, returns the result of a finished query again,
    drops a query that is deleted, and rejects some queries without running them.
    """

    def __init__(self, random: Random, on_event: Callable[[], None]) -> None:
        super().__init__(self._answer)
        self._random = random
        self._on_event = on_event
        self.runs: Counter[str] = Counter()
        self.results: dict[str, asyncio.Future[bytes | None]] = {}  # of the last run; None: dropped

    async def _answer(self, call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        if call.method == "PUT" or call.path == "/ping":
            return http_answer(204 if call.method == "PUT" else 200)
        if call.method == "POST":
            if call.headers["x-sort"] != "ticket-load":
                return await one_page(call, writer)
            if self._random.random() < 0.1:
                return http_answer(503, X_No_Effect="1")
            name = call.headers["x-hop-id"]
            self.runs[name] += 1
            self._on_event()
            loop = asyncio.get_running_loop()
            result = self.results[name] = loop.create_future()
            answer = f"{name}\t{self.runs[name]}\tdone\n".encode()
            loop.call_later(self._random.random() * 0.06, resolve, result, answer)
        else:
            name = call.path.split("/")[2]
        if name not in self.results:
            return http_answer(204 if call.method == "DELETE" else 500)
        result = self.results[name]
        if call.method == "DELETE":
            resolve(result, None)
            return http_answer(204)
        try:
            rows = await asyncio.wait_for(asyncio.shield(result), MAX_RESPONSE_S)
        except TimeoutError:
            return http_answer(202)
        return http_answer(500) if rows is None else http_answer(200, rows, X_Sheets="1")


def resolve(result: asyncio.Future[bytes | None], answer: bytes | None) -> None:
    if not result.done():
        result.set_result(answer)


@dataclass
class Result:
    """The counts and faults of a sweep."""

    kills: int = 0
    loads: int = 0
    served: int = 0
    tries: int = 0
    rejected: int = 0
    may_have_run: int = 0
    faults: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        return (
            f"{self.kills} kills, {self.loads} loads in {self.tries} tries: {self.served} served, "
            f"{self.may_have_run} may have run, {self.rejected} rejections; {len(self.faults)} faults"
        )


class Sweep:
    marks_repeats = False  # whether JSON-RPC clients mark their repeats
    repeat_time_s = 1e9  # time for which clients repeat a load
    pause_s = 0.0  # pause of a client whose load may have run

    def __init__(self, folder: Path, kills: int, seed: int) -> None:
        self.random = Random(seed)
        self.kills = kills
        self.result = Result()
        self._event_count, self._event = 0, asyncio.Event()
        self.http = CountingEngine(self.random, self.count_event)
        self.mysql = MysqlEngine(self._mysql_fault)
        self._folder = folder
        self._is_over = False

    async def _mysql_fault(self, point: str) -> None:
        if point == "execute":
            self.count_event()
            await asyncio.sleep(self.random.random() * 0.03)

    def count_event(self) -> None:
        self._event_count += 1
        self._event.set()

    async def run(self) -> Result:
        await self.http.start()
        await self.mysql.start()
        store_file(
            self._folder,
            segment_mb="0.02",
            most_mb="1",
            keep="{ answer_kb = 1 }",
            recovery="{ most_s = 5 }",
            later_ms="10",
        )
        self.router = RouterProcess(
            self._folder, {"s-0": self.http.port}, mysql_file(self._folder, self.mysql)
        )
        await self.router.start()
        clients = [
            asyncio.create_task(self._client(send, number))
            for send in (self._send_json, self._send_mysql)
            for number in range(CLIENTS)
        ]
        while self.result.kills < self.kills:
            await self._wait_for_random_point()
            await self.router.kill()
            self.result.kills += 1
            await self.router.start()
        self._is_over = True
        await asyncio.gather(*clients)
        if await self.router.end() != 0:
            self.result.faults.append("the router did not end with 0")
        found = inspect_store(Folder(self._folder / "data"))
        if found.exit_code:
            self.result.faults.append(f"the store is not valid: {found.problem}")
        self.http.server.close()
        self.mysql.server.close()
        return self.result

    async def _wait_for_random_point(self) -> None:
        """Wait for a random number of events, or until the store is read, which is when recovery begins."""
        if self.random.random() < 0.25:
            await self.router.store_read.wait()
            return
        until = self._event_count + self.random.randrange(1, 12)
        while self._event_count < until:
            self._event.clear()
            await self._event.wait()
        await asyncio.sleep(self.random.random() * 0.02)  # spreads the kills over the duration of a load

    # Clients

    async def _client(self, attempt: Attempt, number: int) -> None:
        count = 0
        while not self._is_over:
            name = f"{'a' if attempt == self._send_json else 'b'}{number:07x}{count:08x}"
            count += 1
            self.result.loads += 1
            tries = 0
            since = asyncio.get_running_loop().time()
            while not await self._try_once(attempt, name, tries):
                tries += 1
                if asyncio.get_running_loop().time() - since > self.repeat_time_s:
                    break
            self.count_event()

    def choose(self, name: str, tries: int) -> RouterProcess:
        """The router that an attempt is sent to."""
        return self.router

    async def _try_once(self, attempt: Attempt, name: str, tries: int) -> bool:
        """Send a load once; False if it must be repeated, also because the connection was lost."""
        router = self.choose(name, tries)
        await router.listening.wait()
        self.result.tries += 1
        try:
            return await attempt(router, name, tries)
        except (OSError, EOFError, AssertionError):  # the connection was lost
            await asyncio.sleep(0)
            return False

    async def _send_json(self, router: RouterProcess, name: str, tries: int) -> bool:
        client = JsonClient(*await asyncio.open_connection(HOST, router.ports[0]))
        try:
            client.query(
                "ticket-load",
                "INSERT INTO sales_1.t VALUES (1)",
                txn=name,
                limit=10_000,
                **({"second": 1} if self.marks_repeats and tries else {}),
            )
            answer = await client.answer()
        finally:
            client.writer.close()
        runs = self.http.runs[name]
        if "result" in answer:
            self.result.served += 1
            rows = base64.b64decode(answer["result"]["data"])
            if rows != f"{name}\t1\tdone\n".encode() or self.http.results[name].result() != rows:
                self.result.faults.append(f"{name}: served with {rows!r}, not with the rows of its only run")
        elif answer["error"]["code"] == -32002:
            self.result.rejected += 1
            if runs:
                self.result.faults.append(f"{name}: rejected, though it ran")
            await asyncio.sleep(answer["error"]["data"]["later"] / 1000)
            return False
        else:
            self.result.may_have_run += 1
            if not tries and answer["error"]["message"] == EARLIER:
                self.result.faults.append(f"{name}: a first sending was not run")
        if runs > 1:
            self.result.faults.append(f"{name}: ran {runs} times")
        return True

    async def _send_mysql(self, router: RouterProcess, name: str, tries: int) -> bool:
        statement = f"/* slipbay: key={name} */ INSERT INTO sales_2.t VALUES ('{name}')"
        client = await MysqlClient.connect(router.ports[1])
        served = True
        try:
            await client.query(statement)
        except MysqlError as problem:
            served = False
            if problem.code == 9503:
                self.result.rejected += 1
                if self.mysql.executed[statement.encode()]:
                    self.result.faults.append(f"{name}: rejected, though it ran")
                await asyncio.sleep(0.01)
                return False
        finally:
            client.writer.close()
        runs = self.mysql.executed[statement.encode()]
        if runs > 1 or (served and runs != 1):
            self.result.faults.append(f"{name}: ran {runs} times, {'served' if served else 'failed'}")
        self.result.served += served
        self.result.may_have_run += not served
        if not served:
            await asyncio.sleep(self.pause_s)
        return True


def sweep(kills: int, seed: int, limit_s: float) -> Result:
    """Run one sweep in a temporary directory."""

    async def limited(folder: Path) -> Result:
        started = Sweep(folder, kills, seed)
        try:
            return await asyncio.wait_for(started.run(), limit_s)
        finally:
            process = started.router.process
            if process is not None and process.returncode is None:
                process.kill()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(limited(Path(folder)))


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--kills", type=int, default=300)
    options.add_argument("--seed", type=int, default=1)
    chosen = options.parse_args()
    found = sweep(chosen.kills, chosen.seed, chosen.kills * 10)
    print(found)
    for fault in found.faults:
        print(fault)
    raise SystemExit(bool(found.faults))
