"""Stores of router processes are lost, truncated and restored from copies: no request runs twice.

With the detection of store loss disabled, requests do run twice.
"""

from __future__ import annotations

import asyncio
import errno
import os
import re
import shutil
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result
from loopback import HOST, JsonClient, Loopback, StandInEngine, run
from lose_sweep import active, sweep
from mysql_standins import MysqlClient, MysqlEngine, MysqlError, mysql_file
from routers import RouterProcess, store_file

from slipbay.cli import main
from slipbay.config.validation import ConfigError
from slipbay.idempotency.store_generation import StoreWitness
from slipbay.store.frame import HEAD_BYTES
from slipbay.store.marker import Marker


def test_no_request_runs_twice_if_stores_are_lost_truncated_or_restored() -> None:
    result, fault_counts = sweep(kills=12, seed=1, limit_s=120)
    print(result, fault_counts)
    assert result.faults == []
    assert result.kills == 12
    assert sum(fault_counts.values()) - fault_counts["kept"] >= 4
    assert result.served > 2 * result.kills
    assert result.may_have_run
    assert result.tries > result.loads


def test_the_same_sweep_finds_requests_that_ran_twice_with_loss_detection_disabled() -> None:
    result, fault_counts = sweep(kills=60, seed=1, limit_s=120, detects_loss=False)
    print(result, fault_counts)
    assert any(re.search("ran ([2-9]|..+) times", fault) for fault in result.faults), result.faults


LOST = '{ enabled = true, repeat_window_s = 3600, marked = ["jsonrpc", "mysql"], marker = "marker" }'
TXN = "00000000000000aa"
SQL = "/* slipbay: key=k1 */ INSERT INTO sales_1.t VALUES (1)"
MARKED = SQL.replace("k1", "k1 second=1")


async def send_load(router: RouterProcess, txn: str = TXN, **more: Any) -> dict[str, Any]:
    """The final answer to a load; the client repeats a load that is rejected during the recovery."""
    client = JsonClient(*await asyncio.open_connection(HOST, router.ports[0]))
    try:
        while True:
            client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=txn, limit=20_000, **more)
            answer = await client.answer()
            if answer.get("error", {}).get("code") != -32002:
                return answer
            await asyncio.sleep(answer["error"]["data"]["later"] / 1000)
            more["second"] = 1
    finally:
        client.writer.close()


async def send_statement(router: RouterProcess, statement: str) -> str:
    """The error that the client gets, empty if it is served; the client repeats a rejected statement."""
    client = await MysqlClient.connect(router.ports[1])
    try:
        while True:
            try:
                await client.query(statement)
                return ""
            except MysqlError as problem:
                if problem.code != 9503:
                    return problem.text
            await asyncio.sleep(0.02)
            statement = re.sub(r"(key=\w+) \*", r"\1 second=1 *", statement)
    finally:
        client.writer.close()


async def started(folder: Path, loss: str) -> tuple[RouterProcess, StandInEngine, MysqlEngine]:
    store_file(folder, keep="{ retention_h = 2 }", **({"loss": loss} if loss else {}))
    http = StandInEngine()
    engine = MysqlEngine()
    await http.start()
    await engine.start()
    router = RouterProcess(folder, {"s-0": http.port}, mysql_file(folder, engine))
    return router, http, engine


async def restart(router: RouterProcess, *expected: str) -> None:
    """Start a router and wait until it has logged the expected texts."""
    router.lines.clear()
    await router.start()
    await router.wait_for_lines(*expected)


def adopt(folder: Path, because: str) -> Result:
    return CliRunner().invoke(main, ["store", "adopt", str(folder), "--because", because])


def test_a_load_whose_store_was_lost_runs_again_with_loss_detection_disabled(tmp_path: Path) -> None:
    """Shows the problem that loss detection solves: the key is recorded in the store only."""

    async def test() -> None:
        router, http, _ = await started(tmp_path, "")
        await restart(router, "store: read")
        assert "result" in await send_load(router)
        await router.kill()
        shutil.rmtree(tmp_path / "data")
        await restart(router, "store: read")
        assert "result" in await send_load(router, second=1)
        assert len(http.named("POST")) == 2
        await router.end()

    run(test)


def test_after_any_loss_a_repeat_may_have_run_and_a_first_sending_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        data = tmp_path / "data"
        data.mkdir()
        assert adopt(data, " ").exit_code == 2
        assert adopt(data, "a first start").exit_code == 0
        router, http, engine = await started(tmp_path, LOST)
        await restart(router, "an operator vouches for it adoption_reason=20", "a first start")
        assert "result" in await send_load(router)
        assert await send_statement(router, SQL) == ""
        assert await router.end() == 0
        shutil.copytree(data, tmp_path / "first")
        await router.journal.start()
        await restart(router, "generation=2 status=it holds all")
        assert "result" in await send_load(router, "00000000000000ab")
        await router.kill()
        shutil.copytree(data, tmp_path / "second")
        await restart(router, "generation=3 status=it holds all")  # also after a kill
        assert "result" in await send_load(router, "00000000000000ac")
        assert "result" in await send_load(router, "00000000000000ac", second=1)
        runs = len(http.named("POST"))

        def delete_store() -> None:
            shutil.rmtree(data)

        def restore_copy(name: str) -> None:
            delete_store()
            shutil.copytree(tmp_path / name, data)

        def truncate_store() -> None:
            """Remove all that the last incarnation wrote, as if its file had lost its end."""
            os.truncate(active(data), HEAD_BYTES + 1)

        losses: list[tuple[Callable[[], None], str]] = [
            (partial(restore_copy, "second"), "it is an older state"),
            (delete_store, "another store was in its place"),
            (partial(restore_copy, "first"), "another store was"),
            (truncate_store, "another store was"),
        ]
        for number, (lose, expected) in enumerate(losses):
            assert "result" in await send_load(router, f"{number:016x}")
            assert await send_statement(router, SQL.replace("k1", f"n{number}")) == ""
            await router.kill()
            lose()
            await restart(router, expected, "store: uncertainty window begins seconds=3600.0")
            for answer in (
                await send_load(router, f"{number:016x}", second=1),
                await send_load(router, second=1),
            ):
                assert "result" in answer or "may have run" in answer["error"]["message"]
            assert "may have run" in await send_statement(router, MARKED.replace("k1", f"n{number}"))
            assert "result" in await send_load(router, f"f{number:015x}")  # a first sending
            assert "result" in await send_load(router, f"f{number:015x}", second=1)  # the same answer
            assert await send_statement(router, SQL.replace("k1", f"f{number}")) == ""
            assert await send_statement(router, MARKED.replace("k1", f"f{number}")) == ""
        names = [call.headers["x-hop-id"] for call in http.named("POST")]
        assert len(names) == len(set(names)) == runs + 8
        assert set(engine.executed.values()) == {1}
        await router.kill()
        status = CliRunner().invoke(main, ["store", "status", str(data)]).output
        assert "generation 1, uncertain for 3" in status
        assert "may have run" not in adopt(data, "no client of ours is left").output
        await restart(router, "no client of ours is left")
        assert "result" in await send_load(router, second=1)
        assert await router.end() == 0

    run(test, 120)


def test_without_a_marker_or_marked_repeats_loads_wait_for_the_end_of_the_window_over_restarts(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        loss = "{ enabled = true, repeat_window_s = %s }"
        router, http, _ = await started(tmp_path, loss % 3600)
        await restart(router, "it is empty")
        answer = await send_load(router)
        assert answer["error"]["code"] == -32000
        assert "may have run" in answer["error"]["message"]
        assert http.named("POST") == []
        await router.kill()
        await restart(router, "nobody outside of it can tell")
        assert "error" in await send_load(router)
        await router.kill()
        store_file(tmp_path, loss=loss % 0.3)
        await restart(router, "uncertainty window ends")
        assert "result" in await send_load(router)
        assert len(http.named("POST")) == 1
        assert await router.end() == 0

    run(test)


def test_no_load_is_sent_if_the_marker_cannot_be_opened(tmp_path: Path) -> None:
    async def test() -> None:
        loss = LOST.replace('"marker"', '"away/marker"')
        router, http, _ = await started(tmp_path, loss)
        # the marker's directory is missing, as if its disk were not mounted
        await restart(router, "cannot be opened")
        assert "error" in await send_load(router)
        await router.kill()
        (tmp_path / "away").mkdir()
        await restart(router, "store: read")
        assert "result" in await send_load(router)
        assert len(http.named("POST")) == 1
        assert await router.end() == 0

    run(test)


@pytest.mark.parametrize(
    "loss, expected",
    [
        ("repeat_window_s = 7201", "loss.repeat_window_s: want at most keep.retention_h (7200 s)"),
        ('marked = ["http"]', "loss.marked[0]: "),
        ("anywhere = true", "loss.anywhere: want frontends in loss.marked"),
        ('marker = "data/marker"', "loss.marker: want a file outside of the store's folder"),
    ],
)
def test_configuration_errors_name_the_file_and_the_key(tmp_path: Path, loss: str, expected: str) -> None:
    net = Loopback(
        store_file=store_file(tmp_path, keep="{ retention_h = 2 }", loss="{ enabled = true, " + loss + " }")
    )
    with pytest.raises(ConfigError) as problem:
        net.journal.port = 1
        net.config([])
    assert str(problem.value).startswith("store.toml: " + expected)


def test_no_attempt_is_sent_if_the_marker_cannot_be_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        engine = StandInEngine()
        file = store_file(tmp_path, keep="{ retention_h = 2 }", loss=LOST)
        async with Loopback(engine, store_file=file) as net:
            client = await net.client()
            write = Marker.write

            def fail(marker: Marker, witness: StoreWitness) -> None:
                raise OSError(errno.EIO, "Input/output error")

            monkeypatch.setattr(Marker, "write", fail)
            client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
            assert (await client.answer())["error"]["code"] == -32002
            assert engine.named("POST") == []
            monkeypatch.setattr(Marker, "write", write)
            client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000, second=1)
            assert "result" in await client.answer()  # the key was proved to be new before

    run(test)
