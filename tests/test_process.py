"""The router process: start, signals and exit codes."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

from loopback import HOST, SETTINGS, event, host

ROOT = Path(__file__).parent.parent


def configure(folder: Path, **changes: object) -> Path:
    config = folder / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"{HOST}:0",
                "journal": f"{HOST}:1",
                "settings": SETTINGS,
                "known": {"pos": 1, "entries": [event(1, host("s-0", 1), whole=True)]},
                **changes,
            }
        )
    )
    return config


def start(folder: Path, text: str | bytes | None = None, **changes: object) -> subprocess.Popen[str]:
    """Starts a router; ``text`` replaces the configuration file with ``changes``."""
    config = configure(folder, **changes)
    if text is not None:
        config.write_bytes(text.encode() if isinstance(text, str) else text)
    return subprocess.Popen(
        [sys.executable, "-m", "slipbay"],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(config)},
    )


def test_the_router_serves_until_sigterm_and_exits_with_0(tmp_path: Path) -> None:
    process = start(tmp_path)
    assert process.stderr is not None
    port = int(next(line for line in process.stderr if "listens at" in line).rpartition(":")[2])
    with socket.create_connection((HOST, port)) as client:
        client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n')
        assert client.makefile().readline() == '{"jsonrpc":"2.0","id":1,"result":{"well":true}}\n'
        process.send_signal(signal.SIGTERM)
        assert client.recv(1) == b""  # without open requests it closes at once
    assert process.wait(60) == 0
    process.stderr.close()


def test_sighup_switches_to_the_new_journal_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    """Guards against exiting on SIGHUP, and against losing client connections or the endpoint list."""
    with socket.create_server((HOST, 0)) as old, socket.create_server((HOST, 0)) as new:
        process = start(tmp_path, journal=f"{HOST}:{old.getsockname()[1]}")
        assert process.stderr is not None
        port = int(next(line for line in process.stderr if "listens at" in line).rpartition(":")[2])
        with socket.create_connection((HOST, port)) as client, old.accept()[0] as before:
            assert before.makefile().readline() == "tail 1\n"
            before.sendall(json.dumps(event(2, host("s-1", 2))).encode() + b"\n")
            before.sendall(b'{"pos":2}\n')
            configure(tmp_path, listen="nowhere")
            process.send_signal(signal.SIGHUP)
            assert "the old one stays: config.json: listen:" in next(
                line for line in process.stderr if "reload" in line
            )
            configure(tmp_path, journal=f"{HOST}:{new.getsockname()[1]}", seed="7")
            process.send_signal(signal.SIGHUP)
            assert next(line for line in process.stderr if "reload" in line).endswith("next start: seed\n")
            with new.accept()[0] as after:
                assert after.makefile().readline() == "tail 2\n"
                assert before.recv(1) == b""
                client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n')
                assert '"well":true' in client.makefile().readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0
        process.stderr.close()


def test_signals_during_the_start_are_handled_after_it(tmp_path: Path) -> None:
    """Guards against a SIGHUP that kills a router during its start, as happened on a busy machine."""
    text = configure(tmp_path).read_text()
    (tmp_path / "config.json").unlink()
    os.mkfifo(tmp_path / "config.json")
    process = subprocess.Popen(
        [sys.executable, "-m", "slipbay"],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(tmp_path / "config.json")},
    )
    assert process.stderr is not None
    with open(tmp_path / "config.json", "w") as first:  # blocks until the router opens the file to read it
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        first.write(text)
    assert any("listens at" in line for line in process.stderr)
    with open(tmp_path / "config.json", "w") as again:
        again.write(text)
    _, log = process.communicate(timeout=60)
    assert process.returncode == 0
    assert "the configuration was read again" in log
    assert "graceful shutdown requested" in log


def test_with_an_invalid_configuration_the_router_exits_and_names_the_key(tmp_path: Path) -> None:
    process = start(tmp_path, listen="nowhere")
    _, log = process.communicate(timeout=60)
    assert process.returncode == 2
    assert "bad configuration: config.json: listen:" in log


def test_the_files_and_modules_in_the_deploy_file_exist() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert all((ROOT / path).exists() for path in deploy["policy"] + deploy["node"])
    for command in (deploy["run"], deploy["sim"]):
        module = command.split(" -m ")[1].replace(".", "/")
        assert (ROOT / f"{module}.py").exists() or (ROOT / module / "__main__.py").exists()
