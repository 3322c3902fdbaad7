"""SIGHUP, SIGTERM and bad files at any time: a reload takes effect completely or not at all."""

from __future__ import annotations

import copy
import json
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, SETTINGS, StandInEndpointList, event, host, run, until
from mysql_standins import mysql_file
from test_process import ROOT, configure, start
from watches import Net, lines, no_descriptors

import slipbay.log
from slipbay.config.model import Config
from slipbay.config.mysql import load_mysql
from slipbay.config.router import from_json
from slipbay.config.store import load_store
from slipbay.config.validation import ConfigError
from slipbay.discovery import endpoint_watch
from slipbay.membership.settings import load_membership
from slipbay.peer_channel.settings import load_channel
from slipbay.quota.settings import load_quota
from slipbay.scatter_gather.settings import load_gather
from slipbay.warmup.settings import load_warmup

# SIGHUP together with drains, lost connections, connects and outages


class Reloads(Net):
    """A router whose configuration file a test rewrites."""

    def __init__(self, folder: Path, **more: Any) -> None:
        super().__init__(**more)
        self.file = folder / "config.json"

    def reload(self, text: str | bytes) -> None:
        """Reload with this content of the configuration file."""
        self.file.write_bytes(text.encode() if isinstance(text, str) else text)
        self.router.reload({"GW_CONFIG": str(self.file), "SLIPBAY_STORE": "absent"})

    def move_journal(self, port: int) -> None:
        """Reload with another port of the journal service."""
        self.reload(json.dumps({**VALID, "journal": f"{HOST}:{port}"}))


VALID: dict[str, Any] = {
    "name": "n0",
    "listen": f"{HOST}:0",
    "journal": f"{HOST}:1",
    "seed": "a",
    "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
    "peers": [f"{HOST}:3"],
    "peer_listen": f"{HOST}:3",
    "peers_all": f"{HOST}:4",
    "known": {"pos": 1, "entries": [event(1, host("s-0", 1), whole=True)]},
    "settings": {**SETTINGS, "policyLimits": {**SETTINGS["policyLimits"], "mayTell": True}},
}


@asynccontextmanager
async def journals(count: int) -> Any:
    async with AsyncExitStack() as stack:
        services = [StandInEndpointList() for _ in range(count)]
        for service in services:
            await service.start()
            stack.callback(service.server.close)
        yield services


def unresponsive_listener() -> tuple[socket.socket, list[socket.socket]]:
    """A listener that answers no further connection, and the sockets that fill its backlog."""
    full = socket.create_server((HOST, 0), backlog=0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(full.getsockname())
    return full, fillers


@pytest.mark.parametrize("moment", ["before", "in", "after"])
def test_a_change_of_address_around_a_drain(tmp_path: Path, moment: str) -> None:
    """Data of the old service after the change is ignored, and not joined with data of the new one."""

    async def test() -> None:
        async with Reloads(tmp_path) as net, journals(1) as (new,):
            await until(lambda: bool(net.journal.asked))
            old = net.journal.writers[0]
            drain = lines(event(2, net.host(0, "DRAINING")))
            stream = net.watch._stream
            assert stream is not None
            if moment == "in":
                old.write(drain[:40])
                await until(lambda: stream._lines.buffered_bytes == 40)
            elif moment == "after":
                old.write(drain)
                await until(lambda: net.watch.pos == 2)
            net.move_journal(new.port)
            old.write(
                {"before": drain, "in": drain[40:], "after": lines(event(3, net.host(1, "DELETED")))}[moment]
            )
            await until(lambda: bool(new.asked))
            assert new.asked == [b"tail %d\n" % (2 if moment == "after" else 1)]
            if moment == "after":
                assert await net.used_engines() == {1}
                new.tell(event(3, net.host(0), net.host(1, "DRAINING")))
            else:
                assert net.watch.pos == 1
                new.tell(event(2, net.host(1, "DRAINING")))
            await until(lambda: net.watch.pos == (3 if moment == "after" else 2))
            assert await net.used_engines() == {0}
            assert len(net.journal.asked) == 1

    run(test)


@pytest.mark.parametrize("fault", ["cut", "cut, waiting", "connecting", "refused", "silent", "no descriptor"])
def test_a_change_of_address_during_a_fault_leads_to_one_connection(
    tmp_path: Path, fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an old retry, connect or silence timer that closes the new connection."""

    async def test() -> None:
        async with Reloads(tmp_path) as net, journals(1) as (new,):
            await until(lambda: bool(net.journal.writers))
            if fault.startswith("cut"):
                monkeypatch.setattr(endpoint_watch, "MIN_RETRY_DELAY_US", 30_000_000)
                monkeypatch.setattr(endpoint_watch, "MAX_RETRY_DELAY_US", 30_000_000)
                net.journal.cut()
                if fault == "cut, waiting":
                    await until(lambda: net.watch._stream is None)
            elif fault == "connecting":
                full, fillers = unresponsive_listener()
                net.move_journal(full.getsockname()[1])
            elif fault == "refused":
                with socket.socket() as closed:
                    closed.bind((HOST, 0))  # it does not listen
                    net.move_journal(closed.getsockname()[1])
                    await until(lambda: net.watch._failures == 2)
            elif fault == "silent":
                net.wait_for_silence()
            else:
                with no_descriptors():
                    net.watch.follow((HOST, 9))
            net.move_journal(new.port)
            await until(lambda: bool(new.asked))
            stream = net.watch._stream
            new.tell(event(2, net.host(0, "DRAINING")))
            await until(lambda: net.watch.pos == 2)
            if fault == "connecting":
                for filler in fillers:
                    filler.close()
                full.close()
            assert await net.used_engines() == {1}
            assert net.watch._stream is stream
            assert new.asked == [b"tail 1\n"]
            assert len(net.journal.asked) == 1

    run(test)


def test_repeated_changes_of_address_and_one_to_the_same_address(tmp_path: Path) -> None:
    async def test() -> None:
        async with Reloads(tmp_path) as net, journals(2) as (first, second):
            await until(lambda: bool(net.journal.writers))
            stream = net.watch._stream
            net.move_journal(net.journal.port)
            net.move_journal(net.journal.port)
            assert net.watch._stream is stream  # the same address: the connection stays
            net.move_journal(first.port)
            net.move_journal(second.port)
            await until(lambda: bool(second.asked))
            net.move_journal(first.port)
            net.move_journal(second.port)
            await until(lambda: len(second.asked) == 2)
            second.tell(event(2, net.host(0, "DRAINING")))
            await until(lambda: net.watch.pos == 2)
            assert await net.used_engines() == {1}
            assert not any(first.asked)
            assert second.asked == [b"tail 1\n"] * 2

    run(test)


def test_a_change_of_address_after_sigterm_takes_effect_and_the_shutdown_completes(tmp_path: Path) -> None:
    async def test() -> None:
        async with Reloads(tmp_path) as net, journals(1) as (new,):
            await until(lambda: bool(net.journal.writers))
            net.router.shutdown.begin()
            net.router.shutdown.begin()
            net.move_journal(new.port)
            await until(lambda: bool(new.asked))
            new.tell(event(2, net.host(0, "DRAINING")))
            await until(lambda: net.watch.pos == 2)
            assert await net.used_engines() == {
                1
            }  # during the shutdown requests are still accepted for a while
            net.reload("{")
            await net.router.shutdown.done.wait()

    run(test)


def test_signals_during_the_start_and_after_the_event_loop_do_not_kill_the_process(tmp_path: Path) -> None:
    """Guards against exit code -1 after a graceful shutdown: the event loop restores the default handlers."""
    configure(tmp_path)
    program = (
        "import os, signal, sys\n"
        "HELD = (signal.SIGHUP, signal.SIGTERM)\n"
        "signal.pthread_sigmask(signal.SIG_BLOCK, HELD)\n"
        "for number in HELD * 2:\n"
        "    os.kill(os.getpid(), number)\n"
        "from slipbay.process import serve_until_end\n"
        "code = serve_until_end()\n"
        "for number in HELD * 2:\n"
        "    os.kill(os.getpid(), number)\n"
        "sys.exit(code)\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env={"GW_CONFIG": str(tmp_path / "config.json")},
        timeout=60,
    )
    assert done.returncode == 0
    assert done.stderr.count("graceful shutdown requested") == 1
    assert "the configuration was read again" in done.stderr


# Bad files


def deep(opening: str, closing: str = "", levels: int = 100_000) -> str:
    return opening * levels + closing * levels


def changed(path: str, text: str) -> str:
    """The valid configuration with another value, as JSON text, at a path of keys."""
    config = copy.deepcopy(VALID)
    *parents, last = path.split(".")
    container: Any = config
    for key in parents:
        container = container[int(key) if key.isdigit() else key]
    container[int(last) if last.isdigit() else last] = "HERE"
    return json.dumps(config).replace('"HERE"', text)


INVALID: dict[str, tuple[str | bytes, str]] = {
    "not JSON": ("[engines]", "the configuration is not JSON"),
    "empty": ("", "the configuration is not JSON"),
    "truncated": (json.dumps(VALID)[:-20], "the configuration is not JSON"),
    "bad bytes": (b"\xff\xfe\x00" + json.dumps(VALID).encode(), "the configuration is not JSON"),
    "wrong type": ("[]", "the configuration: want an object"),
    "deep": (deep("["), "the configuration: nested too deeply"),
    "deep value": (changed("settings.rules", deep("[", "]", 400)), "nested too deeply"),
    "NaN": (changed("limits.memory_mb", "NaN"), "limits.memory_mb: want a finite number"),
    "Infinity": (changed("limits.sockets", "Infinity"), "limits.sockets: want a finite number"),
    "huge": (changed("limits.cores", "1e999"), "limits.cores: want a finite number"),
    "huge integer": (
        changed("settings.tickUs", "1" + "0" * 400),
        "settings.tickUs: want a number of at most",
    ),
    "too many digits": (changed("known.pos", "1" * 9999), "the configuration is not JSON"),
    "long port": (changed("journal", f'"{HOST}:{"9" * 9999}"'), "journal: want an IPv4 address"),
    "half a character": (changed("name", '"\\ud800"'), "name: want text that is valid Unicode"),
    "setting": (changed("settings.tickUs", '"soon"'), "settings.tickUs: cannot be read"),
    "setting of a class": (
        changed("settings.profiles.1.giveUpUs", "{}"),
        "settings.profiles[1].giveUpUs: cannot be read",
    ),
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_configuration_changes_nothing_and_the_log_names_file_key_and_reason(
    tmp_path: Path, name: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    text, reason = INVALID[name]
    monkeypatch.setattr(slipbay.log, "BURST", 10**6)

    async def test() -> None:
        async with Reloads(tmp_path) as net:
            await until(lambda: bool(net.journal.writers))
            stream = net.watch._stream
            net.reload(text)
            log = capsys.readouterr().err
            assert "bad configuration, the old one stays: config.json: " in log
            assert reason in log
            assert net.watch._stream is stream
            assert net.watch._address == (HOST, net.journal.port)

    run(test)


@pytest.mark.parametrize("what", ["absent", "a directory"])
def test_an_unreadable_configuration_changes_nothing(
    tmp_path: Path, what: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(slipbay.log, "BURST", 10**6)

    async def test() -> None:
        async with Reloads(tmp_path) as net:
            if what == "a directory":
                net.file.mkdir()
            net.router.reload({"GW_CONFIG": str(net.file)})
            assert f"the old one stays: GW_CONFIG: {net.file} cannot be read: " in capsys.readouterr().err

    run(test)


@pytest.mark.parametrize("name", ["not JSON", "deep", "Infinity", "long port", "setting"])
def test_a_start_with_an_invalid_configuration_exits_with_2_and_one_line(tmp_path: Path, name: str) -> None:
    text, reason = INVALID[name]
    process = start(tmp_path, text=text)
    _, log = process.communicate(timeout=60)
    assert process.returncode == 2
    assert log.startswith(f"slipbay: bad configuration: config.json: {reason}")
    assert log.count("\n") == 1


def test_a_start_with_an_unreadable_event_exits_with_2_and_its_path(tmp_path: Path) -> None:
    process = start(tmp_path, known={"entries": [event(1, whole=True), {"pos": {}}]})
    _, log = process.communicate(timeout=60)
    assert process.returncode == 2
    assert "Traceback" not in log
    assert "bad configuration: known.entries[1]: " in log


VALUES: list[Any] = [
    None,
    True,
    -1,
    1.5,
    1e300,
    float("inf"),
    float("nan"),
    2**64,
    10**400,
    "",
    "\ud800",
    "\0",
]
VALUES += ["1.2.3.4:99999", [], {}, [[]], {"a": {}}, ["x"], [None]]


def paths(value: object, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    yield path
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in items:
        yield from paths(inner, (*path, key))


def test_reading_a_configuration_raises_only_config_errors_that_name_the_key() -> None:
    """Each value of a valid configuration is replaced by each of the values above."""
    for path in paths(VALID):
        for value in VALUES:
            config: dict[str, Any] = {"all": copy.deepcopy(VALID)}
            container: Any = config
            last: str | int = "all"
            for key in path:
                container = container[last]
                last = key
            container[last] = value
            try:
                from_json(json.dumps(config["all"]), {})
            except ConfigError as problem:
                assert not path or str(path[0]) in str(problem), (path, value)


OPERATOR_FILES: dict[str, str] = {
    "channel": """
enabled = true
rate = 1000
key_file = "key"
old_key_file = "key"
status = true
[parts]
decisions = 0.08
view = 0.38
""",
    "fleet": """
enabled = true
build = 1
key_file = "key"
old_key_file = "key"
status = true
shares = true
[timing]
probe_ms = 250
answer_ms = 80
tries = 4
patience = 2.0
rate = 700
burst = 300
""",
    "comeback": """
enabled = true
held_share = 0.5
dials = 9
sample = 8
[ages]
pace_s = 10
""",
    "quota": """
enabled = true
version = 1
term_ms = 2000
reserve = 0.1
[[quotas]]
name = "fuel"
tenants = ["ishikari-fuel"]
classes = []
rate = 200.0
burst = 100.0
open = 0
soft = 1.0
[quotas.parts]
lookup = 0.6
""",
    "gather": """
enabled = true
most_open = 256
most_mb = 16
[[scatter]]
class = "report"
parts = "lookup"
groups = [1, 2]
mark = "{group}"
curve = [[0.5, 0.4], [1, 1]]
price_per_s = 0.1
latest_ms = 2000
""",
    "store": """
enabled = true
folder = "data"
segment_mb = 8
most_mb = 64
later_ms = 100
[keep]
retention_h = 24
answer_kb = 64
most_keys = 1000
[loss]
enabled = true
marker = "m"
""",
}
INVALID_VALUES = [
    "inf",
    "nan",
    "1e300",
    "-1",
    "9" * 400,
    "true",
    '""',
    '"\\u0000"',
    '"x"',
    "[]",
    "{}",
    "[[]]",
]
INVALID_VALUES += ["[" * 5000, "=", '"(?:a{99999999999})"', "[{a = 1}]", ".".join("a" * 500) + " = 1"]


def load_operator_file(name: str, path: Path) -> object:
    config = from_json(json.dumps(VALID), {})
    environment = {f"SLIPBAY_{name.upper()}": str(path)}
    loaders: dict[str, Callable[[Config], object]] = {
        "channel": lambda config: load_channel(config, environment),
        "fleet": lambda config: load_membership(config, environment),
        "comeback": lambda config: load_warmup(config, environment, None),
        "quota": lambda config: load_quota(config, environment),
        "gather": lambda config: load_gather(config, environment),
        "store": lambda config: load_store(config, path),
        "mysql": lambda config: load_mysql(config, path),
    }
    return loaders[name](config)


@pytest.mark.parametrize("name", [*OPERATOR_FILES, "mysql"])
def test_reading_an_operator_file_raises_only_config_errors(tmp_path: Path, name: str) -> None:
    """Each value of a valid file is replaced by each of the invalid values above."""
    (tmp_path / "key").write_bytes(b"k" * 16)
    path = tmp_path / f"{name}.toml"
    text = OPERATOR_FILES[name] if name in OPERATOR_FILES else mysql_file(tmp_path).read_text()
    path.write_text(text)
    assert load_operator_file(name, path) is not None
    rows = text.splitlines()
    for number, row in enumerate(rows):
        key, equals, _ = row.partition(" = ")
        for value in INVALID_VALUES if equals else ():
            path.write_text("\n".join([*rows[:number], f"{key} = {value}", *rows[number + 1 :]]))
            try:
                load_operator_file(name, path)
            except ConfigError as problem:
                assert str(problem).startswith(path.name), row
    for content in (b"\xff\xfe", b"\0", b"[" * 100_000, b"enabled = true\nx = " + b"[" * 100_000):
        path.write_bytes(content)
        with pytest.raises(ConfigError, match=f"^{path.name}: "):
            load_operator_file(name, path)
    path.unlink()
    path.mkdir()
    with pytest.raises(ConfigError, match=f"^{path.name}: "):
        load_operator_file(name, path)


def test_an_invalid_operator_file_at_sighup_changes_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The address of the journal service stays too: a reload is checked completely before it takes effect."""
    monkeypatch.setattr(slipbay.log, "BURST", 10**6)

    async def test() -> None:
        async with Reloads(tmp_path) as net, journals(1) as (new,):
            await until(lambda: bool(net.journal.writers))
            stream = net.watch._stream
            net.file.write_text(json.dumps({**VALID, "journal": f"{HOST}:{new.port}"}))
            invalid = tmp_path / "bad.toml"
            for content in (
                b"enabled = 1",
                b"\xff",
                b"x = " + b"[" * 100_000,
                b"enabled = true\nfolder = nan",
            ):
                invalid.write_bytes(content)
                for part in ("STORE", "MYSQL", "CHANNEL", "QUOTA", "GATHER"):
                    net.router.reload({"GW_CONFIG": str(net.file), f"SLIPBAY_{part}": str(invalid)})
                    assert "the old one stays: bad.toml: " in capsys.readouterr().err
            assert net.watch._stream is stream
            assert net.watch._address == (HOST, net.journal.port)

    run(test)
