"""Stores lost, cut and put back under real routers: nothing runs twice; without the part something does."""

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


def test_stores_lost_cut_and_put_back_make_nothing_run_twice() -> None:
    result, done = sweep(kills=12, seed=1, limit_s=120)
    print(result, done)
    assert result.faults == []
    assert result.kills == 12
    assert sum(done.values()) - done["kept"] >= 4
    assert result.served > 2 * result.kills
    assert result.may_have_run
    assert result.tries > result.loads


def test_the_same_sweep_finds_loads_that_ran_twice_with_the_part_off() -> None:
    result, done = sweep(kills=60, seed=1, limit_s=120, on=False)
    print(result, done)
    assert any(re.search("ran ([2-9]|..+) times", fault) for fault in result.faults), result.faults


LOST = '{ enabled = true, repeat_window_s = 3600, marked = ["jsonrpc", "mysql"], marker = "marker" }'
TXN = "00000000000000aa"
SQL = "/* slipbay: key=k1 */ INSERT INTO sales_1.t VALUES (1)"
MARKED = SQL.replace("k1", "k1 second=1")


async def ask(router: RouterProcess, txn: str = TXN, **more: Any) -> dict[str, Any]:
    """The end of a load. Who is refused, as the fate of others is being learned, comes back."""
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


async def ask_mysql(router: RouterProcess, statement: str) -> str:
    """What the client is told; "" where it was served. Who is refused comes back."""
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


async def again(router: RouterProcess, *told: str) -> None:
    router.lines.clear()
    await router.start()
    await router.tells(*told)


def adopt(folder: Path, because: str) -> Result:
    return CliRunner().invoke(main, ["store", "adopt", str(folder), "--because", because])


def test_a_load_whose_store_was_lost_runs_again_with_the_part_off(tmp_path: Path) -> None:
    """The need: nothing else holds its key."""

    async def test() -> None:
        router, http, _ = await started(tmp_path, "")
        await again(router, "store: read")
        assert "result" in await ask(router)
        await router.kill()
        shutil.rmtree(tmp_path / "data")
        await again(router, "store: read")
        assert "result" in await ask(router, second=1)
        assert len(http.named("POST")) == 2
        await router.end()

    run(test)


def test_over_every_loss_a_repeat_may_have_run_and_a_first_sending_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        data = tmp_path / "data"
        data.mkdir()
        assert adopt(data, " ").exit_code == 2
        assert adopt(data, "a first start").exit_code == 0
        router, http, engine = await started(tmp_path, LOST)
        await again(router, "an operator vouches for it adoption_reason=20", "a first start")
        assert "result" in await ask(router)
        assert await ask_mysql(router, SQL) == ""
        assert await router.end() == 0
        shutil.copytree(data, tmp_path / "first")
        await router.journal.start()
        await again(router, "generation=2 status=it holds all")
        assert "result" in await ask(router, "00000000000000ab")
        await router.kill()
        shutil.copytree(data, tmp_path / "second")
        await again(router, "generation=3 status=it holds all")  # after a kill too
        assert "result" in await ask(router, "00000000000000ac")
        assert "result" in await ask(router, "00000000000000ac", second=1)
        runs = len(http.named("POST"))

        def delete() -> None:
            shutil.rmtree(data)

        def old(name: str) -> None:
            delete()
            shutil.copytree(tmp_path / name, data)

        def cut() -> None:
            """All that the last life wrote is gone, as where a file lost its end."""
            os.truncate(active(data), HEAD_BYTES + 1)

        harms: list[tuple[Callable[[], None], str]] = [
            (partial(old, "second"), "it is an older state"),
            (delete, "another store was in its place"),
            (partial(old, "first"), "another store was"),
            (cut, "another store was"),
        ]
        for number, (harm, told) in enumerate(harms):
            assert "result" in await ask(router, f"{number:016x}")
            assert await ask_mysql(router, SQL.replace("k1", f"n{number}")) == ""
            await router.kill()
            harm()
            await again(router, told, "store: uncertainty window begins seconds=3600.0")
            for answer in (await ask(router, f"{number:016x}", second=1), await ask(router, second=1)):
                assert "result" in answer or "may have run" in answer["error"]["message"]
            assert "may have run" in await ask_mysql(router, MARKED.replace("k1", f"n{number}"))
            assert "result" in await ask(router, f"f{number:015x}")  # a first sending
            assert "result" in await ask(router, f"f{number:015x}", second=1)  # the same answer
            assert await ask_mysql(router, SQL.replace("k1", f"f{number}")) == ""
            assert await ask_mysql(router, MARKED.replace("k1", f"f{number}")) == ""
        names = [call.headers["x-hop-id"] for call in http.named("POST")]
        assert len(names) == len(set(names)) == runs + 8
        assert set(engine.executed.values()) == {1}
        await router.kill()
        told = CliRunner().invoke(main, ["store", "status", str(data)]).output
        assert "generation 1, uncertain for 3" in told
        assert "may have run" not in adopt(data, "no client of ours is left").output
        await again(router, "no client of ours is left")
        assert "result" in await ask(router, second=1)
        assert await router.end() == 0

    run(test, 120)


def test_without_a_marker_or_marks_the_window_is_waited_out_over_restarts(tmp_path: Path) -> None:
    async def test() -> None:
        loss = "{ enabled = true, repeat_window_s = %s }"
        router, http, _ = await started(tmp_path, loss % 3600)
        await again(router, "it is empty")
        answer = await ask(router)
        assert answer["error"]["code"] == -32000
        assert "may have run" in answer["error"]["message"]
        assert http.named("POST") == []
        await router.kill()
        await again(router, "nobody outside of it can tell")
        assert "error" in await ask(router)
        await router.kill()
        store_file(tmp_path, loss=loss % 0.3)
        await again(router, "uncertainty window ends")
        assert "result" in await ask(router)
        assert len(http.named("POST")) == 1
        assert await router.end() == 0

    run(test)


def test_where_the_marker_fails_no_load_leaves(tmp_path: Path) -> None:
    async def test() -> None:
        loss = LOST.replace('"marker"', '"away/marker"')
        router, http, _ = await started(tmp_path, loss)
        await again(router, "cannot be opened")  # its folder is not there: a disk that is not mounted
        assert "error" in await ask(router)
        await router.kill()
        (tmp_path / "away").mkdir()
        await again(router, "store: read")
        assert "result" in await ask(router)
        assert len(http.named("POST")) == 1
        assert await router.end() == 0

    run(test)


@pytest.mark.parametrize(
    "loss, told",
    [
        ("repeat_window_s = 7201", "loss.repeat_window_s: want at most keep.retention_h (7200 s)"),
        ('marked = ["http"]', "loss.marked[0]: "),
        ("anywhere = true", "loss.anywhere: want frontends in loss.marked"),
        ('marker = "data/marker"', "loss.marker: want a file outside of the store's folder"),
    ],
)
def test_mistakes_in_the_part_name_file_and_key(tmp_path: Path, loss: str, told: str) -> None:
    net = Loopback(
        store_file=store_file(tmp_path, keep="{ retention_h = 2 }", loss="{ enabled = true, " + loss + " }")
    )
    with pytest.raises(ConfigError) as problem:
        net.journal.port = 1
        net.config([])
    assert str(problem.value).startswith("store.toml: " + told)


def test_a_marker_that_cannot_be_written_keeps_attempts_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        engine = StandInEngine()
        file = store_file(tmp_path, keep="{ retention_h = 2 }", loss=LOST)
        async with Loopback(engine, store_file=file) as net:
            client = await net.client()
            write = Marker.write

            def fail(marker: Marker, word: StoreWitness) -> None:
                raise OSError(errno.EIO, "Input/output error")

            monkeypatch.setattr(Marker, "write", fail)
            client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000)
            assert (await client.answer())["error"]["code"] == -32002
            assert engine.named("POST") == []
            monkeypatch.setattr(Marker, "write", write)
            client.query("ticket-load", "INSERT INTO sales_1.t VALUES (1)", txn=TXN, limit=5000, second=1)
            assert "result" in await client.answer()  # the key proved new before

    run(test)
