"""The program as the platform starts and ends it."""

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


def start(folder: Path, **changes: object) -> subprocess.Popen[str]:
    config = folder / "config.json"
    config.write_text(json.dumps({
        "name": "n0", "listen": f"{HOST}:0", "journal": f"{HOST}:1", "settings": SETTINGS,
        "known": {"pos": 1, "entries": [event(1, host("s-0", 1), whole=True)]}, **changes}))
    return subprocess.Popen([sys.executable, "-m", "slipbay"], cwd=ROOT, text=True, stderr=subprocess.PIPE,
                            env={**os.environ, "GW_CONFIG": str(config)})


def test_it_serves_until_sigterm_and_exits_with_0(tmp_path: Path) -> None:
    process = start(tmp_path)
    assert process.stderr is not None
    port = int(next(line for line in process.stderr if "listens at" in line).rpartition(":")[2])
    with socket.create_connection((HOST, port)) as client:
        client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"alive"}\n')
        assert client.makefile().readline() == '{"jsonrpc":"2.0","id":1,"result":{"well":true}}\n'
        process.send_signal(signal.SIGTERM)
        assert client.recv(1) == b""  # nothing was open on it
    assert process.wait(10) == 0
    process.stderr.close()


def test_a_faulty_configuration_ends_the_start_with_its_key(tmp_path: Path) -> None:
    process = start(tmp_path, listen="nowhere")
    _, told = process.communicate(timeout=10)
    assert process.returncode == 2 and "bad configuration: listen:" in told


def test_the_deploy_file_names_what_exists() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert all((ROOT / path).exists() for path in deploy["policy"] + deploy["node"])
    for command in (deploy["run"], deploy["sim"]):
        module = command.split(" -m ")[1].replace(".", "/")
        assert (ROOT / f"{module}.py").exists() or (ROOT / module / "__main__.py").exists()
