"""Requests of the class "ticket-load" (loads) with the store enabled, over sockets.

The tests cover repeats, disconnected clients, a slow or failing disk, and restarts of the router.
"""

from __future__ import annotations

import asyncio
import errno
import signal
import threading
from pathlib import Path
from typing import Any

import pytest
from loopback import HttpCall, JsonClient, Loopback, StandInEngine, http_answer, one_page, run, until
from mysql_standins import MysqlClient, MysqlEngine, MysqlError, mysql_file
from routers import RouterProcess, store_file
from sim_disk import SimDisk

import slipbay.idempotency.store_opening
from slipbay.store.disk import Folder
from slipbay.store.inspect import inspect_store

TXN = "00000000000000aa"


class HoldingEngine(StandInEngine):
    """Holds loads until ``released`` is set; answers other statements at once."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.released = asyncio.Event()

    def loads(self) -> int:
        return sum(call.headers["x-sort"] == "ticket-load" for call in self.named("POST"))

    async def _answer(self, call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        if call.method == "POST" and call.headers["x-sort"] != "ticket-load":
            return await one_page(call, writer)
        if call.method in ("POST", "GET") and not self.released.is_set():
            try:
                await asyncio.wait_for(self.released.wait(), 0.2)
            except TimeoutError:
                return http_answer(202)
        return await one_page(call, writer)


async def load(
    client: JsonClient, txn: str = TXN, sql: str = "INSERT INTO sales_1.t VALUES (1)", **more: Any
) -> dict[str, Any]:
    client.query("ticket-load", sql, **{"txn": txn, "limit": 5000, **more})
    return await client.answer()


def test_a_repeat_gets_the_same_answer_and_runs_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine, store_file=store_file(tmp_path)) as net:
            first = await load(await net.client())
            repeat = await load(await net.client())
            assert first["result"] == repeat["result"]
            assert len(engine.named("POST")) == 1
            other = await load(await net.client(), sql="DELETE FROM sales_1.t")
            assert other["error"]["code"] == -32602
            assert "another statement" in other["error"]["message"]
            team = await load(await net.client(), team="tokachi-oil")
            assert team["error"]["code"] == -32602
            client = await net.client()
            client.query("lookup", txn=TXN)  # engines identify queries by the key alone
            assert (await client.answer())["error"]["message"] == "txn has been used"
            assert len(engine.named("POST")) == 1

    run(test)


def test_a_repeat_of_a_running_request_waits_for_its_end(tmp_path: Path) -> None:
    """A client loses its connection: its load continues, and each client that repeats it gets the answer."""

    async def test() -> None:
        engine = HoldingEngine()
        async with Loopback(engine, store_file=store_file(tmp_path)) as net:
            disconnected = await net.client()
            second = await net.client()
            third = await net.client()
            disconnected.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
            await until(lambda: bool(engine.named("POST")))
            disconnected.writer.transport.abort()
            for client in (second, third):
                client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
            client = await net.client()
            client.query("lookup")
            assert "result" in await client.answer()
            engine.released.set()
            answers = [await client.answer() for client in (second, third)]
            assert all("result" in answer for answer in answers)
            assert [call.path for call in engine.calls if call.method == "DELETE"] == []
            assert engine.loads() == 1

    run(test)


def test_a_request_is_cancelled_on_its_engine_when_its_last_client_cancels(tmp_path: Path) -> None:
    async def test() -> None:
        engine = HoldingEngine()
        async with Loopback(engine, store_file=store_file(tmp_path)) as net:
            first = await net.client()
            second = await net.client()
            ids = []
            for client in (first, second):
                ids.append(
                    client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
                )
                await until(lambda: bool(engine.named("POST")))
            waiters = net.router.dispatcher.idempotency_guard._waiting.by_key  # type: ignore[union-attr]
            await until(lambda: len(waiters.get(b"json:" + TXN.encode(), [])) == 1)
            first.cancel(ids[0])
            await load(first, "00000000000000ab", limit=0)  # answered after the cancellation was handled
            assert engine.named("DELETE") == []
            second.cancel(ids[1])
            await until(lambda: bool(engine.named("DELETE")))
            answer = await load(first)
            assert answer["error"]["code"] == -32000
            assert "may have run" in answer["error"]["message"]
            assert len(engine.named("POST")) == 1

    run(test)


def test_a_waiting_repeat_has_its_own_deadline(tmp_path: Path) -> None:
    async def test() -> None:
        engine = HoldingEngine()
        async with Loopback(engine, store_file=store_file(tmp_path)) as net:
            first = await net.client()
            second = await net.client()
            first.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
            await until(lambda: bool(engine.named("POST")))
            answer = await load(second, limit=100)
            assert "deadline has passed" in answer["error"]["message"]
            engine.released.set()
            assert "result" in await first.answer()

    run(test)


class SlowDisk(SimDisk):
    """Syncs wait while ``may_sync`` is not set, and writes fail while ``is_full`` is true."""

    def __init__(self) -> None:
        super().__init__()
        self.may_sync = threading.Event()
        self.is_full = False
        self.may_sync.set()
        self.faults = self._fault

    def _fault(self, operation: str, name: str, size: int) -> int:
        if self.is_full and operation != "read":
            raise OSError(errno.ENOSPC, "No space left on device")
        if operation == "sync":
            assert self.may_sync.wait(30)
        return size


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> SlowDisk:
    slow = SlowDisk()
    monkeypatch.setattr(slipbay.idempotency.store_opening, "Folder", lambda path: slow)
    return slow


def test_no_attempt_is_sent_before_its_intent_is_durable(tmp_path: Path, disk: SlowDisk) -> None:
    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine, store_file=store_file(tmp_path)) as net:
            disk.may_sync.clear()
            client = await net.client()
            client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
            other = await net.client()
            for _ in range(20):  # lookups are not affected
                other.query("lookup")
                assert "result" in await other.answer()
            assert all(call.headers["x-sort"] == "lookup" for call in engine.named("POST"))
            disk.may_sync.set()
            assert "result" in await client.answer()

    run(test)


def test_while_the_disk_stalls_loads_are_answered_in_time_and_never_sent_late(
    tmp_path: Path, disk: SlowDisk
) -> None:
    async def test() -> None:
        engine = StandInEngine()
        async with Loopback(engine, store_file=store_file(tmp_path)) as net:
            disk.may_sync.clear()
            client = await net.client()
            answer = await load(client, limit=300)
            assert answer["error"]["code"] in (-32000, -32002)
            disk.may_sync.set()
            assert "result" in await load(client, "00000000000000ab")  # committed after all queued changes
            assert [call.headers["x-hop-id"] for call in engine.named("POST")] == ["00000000000000ab"]
            assert "result" in await load(client)  # the first attempt was never sent: its key is free

    run(test)


def test_while_the_disk_fails_loads_are_rejected_with_a_retry_delay(tmp_path: Path, disk: SlowDisk) -> None:
    async def test() -> None:
        engine = StandInEngine()
        file = store_file(tmp_path, later_ms="700", commit="{ retry_ms = 1 }")
        async with Loopback(engine, store_file=file) as net:
            client = await net.client()
            disk.is_full = True
            for _ in range(3):
                answer = await load(client)
                assert answer["error"]["code"] == -32002
                assert answer["error"]["data"]["later"] == 700
            client.query("lookup")
            assert "result" in await client.answer()
            disk.is_full = False
            coordinator = net.router.idempotency
            await until(lambda: coordinator is not None and coordinator.is_ready)
            assert "result" in await load(client)
            assert len(engine.named("POST")) == 2

    run(test)


def test_an_outcome_that_could_not_be_written_is_written_later(tmp_path: Path, disk: SlowDisk) -> None:
    """Guards against an intent that stays open forever because the disk failed when its request ended."""

    async def test() -> None:
        engine = HoldingEngine()
        async with Loopback(engine, store_file=store_file(tmp_path, commit="{ retry_ms = 1 }")) as net:
            client = await net.client()
            coordinator = net.router.idempotency
            assert coordinator is not None
            client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
            await until(lambda: engine.loads() == 1)
            disk.is_full = True
            engine.released.set()
            assert "result" in await client.answer()
            await until(lambda: bool(coordinator._ledger_writer.unwritten))
            assert "result" not in await load(await net.client())  # the answer was lost when the write failed
            disk.is_full = False
            await until(lambda: coordinator.is_ready and not coordinator._ledger_writer.unwritten)
        records = inspect_store(disk).records
        assert [b"served" in value for value in records.values()] == [True]
        assert engine.loads() == 1

    run(test)


def test_a_failing_disk_stops_the_router_if_configured(tmp_path: Path, disk: SlowDisk) -> None:
    async def test() -> None:
        file = store_file(tmp_path, when_it_cannot_write='"stop"')
        async with Loopback(StandInEngine(), store_file=file) as net:
            client = await net.client()
            disk.is_full = True
            assert (await load(client))["error"]["code"] == -32002
            await net.router.shutdown.done.wait()

    run(test)


def test_only_loads_fail_if_the_store_cannot_be_opened(tmp_path: Path) -> None:
    async def test() -> None:
        file = store_file(tmp_path)
        (tmp_path / "data").mkdir()
        (tmp_path / "data" / "MANIFEST").write_bytes(b"spoilt")
        net = Loopback(StandInEngine(), store_file=file)
        net.wait_for_store = False
        async with net:
            client = await net.client()
            answer = await load(client)  # a rejection would state that it has not run
            assert answer["error"]["code"] == -32000
            assert "cannot be read" in answer["error"]["message"]
            client.query("lookup")
            assert "result" in await client.answer()
        assert (tmp_path / "data" / "MANIFEST").read_bytes() == b"spoilt"

    run(test)


# MySQL


LOAD = "/* slipbay: key=k1 */ INSERT INTO sales_1.t VALUES (1)"


def test_a_key_in_a_hint_makes_a_repeat_safe(tmp_path: Path) -> None:
    async def test() -> None:
        engine = MysqlEngine()
        await engine.start()
        async with Loopback(
            StandInEngine(), mysql_file=mysql_file(tmp_path, engine), store_file=store_file(tmp_path)
        ) as net:
            clients = [await MysqlClient.connect(net.port(1)) for _ in range(2)]
            assert [await client.query(LOAD) for client in clients] == [[bytes([100]) + b"x" * 100]] * 2
            assert engine.executed == {LOAD.encode(): 1}
            with pytest.raises(MysqlError) as problem:
                await clients[0].query(LOAD.replace("(1)", "(2)"))
            assert problem.value.code == 1210
            assert "another statement" in problem.value.text
            with pytest.raises(MysqlError) as problem:
                await clients[0].query(LOAD.replace("k1", "k" * 201))
            assert problem.value.code == 1210
            for _ in range(2):  # statements without a key are independent
                await clients[0].query("INSERT INTO sales_1.t VALUES (3)")
            assert engine.executed[b"INSERT INTO sales_1.t VALUES (3)"] == 2
            engine.server.close()

    run(test)


# Restarts of the process


def test_a_restarted_router_queries_the_engine_and_returns_the_recovered_answer(tmp_path: Path) -> None:
    async def test() -> None:
        store_file(tmp_path)
        engine = HoldingEngine()
        await engine.start()
        router = RouterProcess(tmp_path, {"s-0": engine.port})
        await router.start()
        await router.store_read.wait()
        client = JsonClient(*await asyncio.open_connection("127.0.0.1", router.ports[0]))
        client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
        await until(lambda: bool(engine.named("POST")))
        await router.kill()
        await router.start()
        await router.store_read.wait()
        client = JsonClient(*await asyncio.open_connection("127.0.0.1", router.ports[0]))
        client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
        other = JsonClient(*await asyncio.open_connection("127.0.0.1", router.ports[0]))
        rejected = await load(other, "00000000000000ab")  # new loads are accepted after the recovery
        assert rejected["error"]["code"] == -32002
        assert rejected["error"]["data"]["later"] == 1000
        other.query("lookup")
        assert "result" in await other.answer()
        engine.released.set()
        assert "result" in await client.answer()
        assert engine.loads() == 1
        assert await router.end() == 0
        assert inspect_store(Folder(tmp_path / "data")).exit_code == 0
        engine.server.close()

    run(test)


def test_a_restarted_router_kills_its_mysql_thread_before_it_accepts_loads(tmp_path: Path) -> None:
    async def test() -> None:
        store_file(tmp_path)
        http = StandInEngine()
        engine = MysqlEngine()
        engine.hold = asyncio.Event()
        await http.start()
        await engine.start()
        router = RouterProcess(tmp_path, {"s-0": http.port}, mysql_file(tmp_path, engine))
        await router.start()
        await router.store_read.wait()
        client = await MysqlClient.connect(router.ports[1])
        client.command(0x03, LOAD.encode())
        await until(lambda: bool(engine.running))
        await router.kill()
        engine.uptime_s = 0  # the server was restarted: its thread numbers belong to other clients
        await router.start()
        await router.store_read.wait()
        repeating = await MysqlClient.connect(router.ports[1])
        with pytest.raises(MysqlError) as problem:
            await repeating.query(LOAD)
        assert "may have run" in problem.value.text
        assert engine.killed == []
        # the outcome is stored
        await until(
            lambda: any(
                b"may have run" in value
                for value in inspect_store(Folder(tmp_path / "data")).records.values()
            )
        )
        await router.kill()
        assert engine.executed[LOAD.encode()] == 1
        engine.uptime_s = 10_000
        other = LOAD.replace("k1", "k2")
        await router.start()
        await router.store_read.wait()
        client = await MysqlClient.connect(router.ports[1])
        client.command(0x03, other.encode())
        await until(lambda: other.encode() in engine.running.values())
        second = next(thread for thread, sql in engine.running.items() if sql == other.encode())
        await router.kill()
        await router.start()
        await router.store_read.wait()
        repeating = await MysqlClient.connect(router.ports[1])
        with pytest.raises(MysqlError) as problem:
            await repeating.query(other)
        assert "may have run" in problem.value.text
        assert engine.killed == [second]
        assert engine.executed[other.encode()] == 1
        assert await router.end() == 0
        http.server.close()
        engine.server.close()

    run(test)


def test_the_retry_budget_is_written_and_restored(tmp_path: Path) -> None:
    """Retries that one incarnation sent count in the next one."""

    async def reject(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
        return http_answer(503, X_No_Effect="1")

    async def test() -> None:
        file = store_file(tmp_path)
        async with Loopback(StandInEngine(reject), StandInEngine(reject), store_file=file) as net:
            client = await net.client()
            client.query("lookup", limit=400)
            assert "error" in await client.answer()
            spent = sum(amount for _, amount in net.policy_controller.retry_budget().retries)
            assert spent >= 1
        async with Loopback(StandInEngine(), store_file=file) as net:
            assert sum(amount for _, amount in net.policy_controller.retry_budget().retries) >= spent

    run(test)


def test_ended_keys_are_deleted_after_their_retention_period(tmp_path: Path) -> None:
    async def test() -> None:
        engine = StandInEngine()
        file = store_file(tmp_path, keep="{ retention_h = 0.001 }")
        async with Loopback(engine, store_file=file) as net:
            client = await net.client()
            coordinator = net.router.idempotency
            assert "result" in await load(client)
            assert coordinator is not None
            ledger = coordinator._ledger
            assert ledger is not None
            assert len(ledger.records) == 1
            coordinator._ledger.advance_clock(ledger._now + 4_000_000)  # type: ignore[union-attr]
            await until(lambda: not ledger.records)
        assert inspect_store(Folder(tmp_path / "data")).records == {}

    run(test)


def test_sighup_applies_reloadable_settings_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    async def test() -> None:
        store_file(tmp_path)
        engine = StandInEngine()
        await engine.start()
        router = RouterProcess(tmp_path, {"s-0": engine.port})
        await router.start()
        await router.store_read.wait()
        for changes, expected in (
            ({"later_ms": "-1"}, "the old one stays: store.toml: later_ms"),
            ({"later_ms": "5", "segment_mb": "4"}, "next start: store.segment_bytes"),
        ):
            store_file(tmp_path, **changes)
            assert router.process is not None
            router.process.send_signal(signal.SIGHUP)
            await router.wait_for_lines(expected)
        client = JsonClient(*await asyncio.open_connection("127.0.0.1", router.ports[0]))
        assert "result" in await load(client)
        assert await router.end() == 0
        engine.server.close()

    run(test)
