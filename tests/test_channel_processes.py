"""Router processes that send as much as the channel allows, in a fleet with routers of earlier releases."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from channel_play import run_scenario
from loopback import HOST
from test_channel import GOSSIP_SETTINGS
from test_process import ROOT, configure

ON = "enabled = true\n"
ON_WITH_KEY = ON + 'key_file = "key"\n'
RATE = 1_000


def test_old_and_new_releases_serve_together_and_each_keeps_its_rate() -> None:
    """Router 0 supports neither membership nor the channel, router 1 only membership. At any time a router
    may exceed its rate by the bytes of one window. All messages are also duplicated, replayed, garbled, and
    sent from an address that no router has."""
    report, traffic = run_scenario({2: ON, 3: ON_WITH_KEY}, {1: ON, 2: ON, 3: ON})
    assert report.good, (report.faults, report.timeline)
    assert report.outcomes["lookup served"] > 100
    assert not traffic.framed[0]
    assert not traffic.framed[1]
    assert min(traffic.framed[2], traffic.framed[3]) > 10
    for number in (2, 3):
        assert sum(size for _, size in traffic.sent[number]) > 6 * RATE / 2
        assert traffic.max_excess(number) <= RATE, traffic.max_bytes(number)
        counters = traffic.status[number]
        # the router counts every byte that it sends
        assert counters["bytes"] >= traffic.at_status[number] > 0
        assert counters["kinds"]["quota"]["over_budget"] > 100
        assert counters["kinds"]["view"]["sent"] > 10
        assert counters["garbled"] > 0
        assert not counters["received"]


def test_the_check_finds_a_router_without_a_byte_budget() -> None:
    report, traffic = run_scenario(
        {0: ON, 1: ON}, {0: ON, 1: ON}, "boundless", routers=2, seconds=3, do=[], settle_s=0
    )
    assert report.good
    assert min(traffic.max_excess(number) for number in (0, 1)) > 10 * RATE


def resident(folder: Path, **files: str) -> tuple[int, set[str]]:
    """Resident KiB of a router once it listens, and the optional packages that it has imported."""
    environment = {
        **os.environ,
        "GW_CONFIG": str(
            configure(folder, peers=[f"{HOST}:3"], peer_listen=f"{HOST}:0", settings=GOSSIP_SETTINGS)
        ),
    }
    for name in ("channel", "fleet", "store", "comeback", "quota"):
        (folder / f"{name}.toml").write_text(files.get(name, "enabled = false\n"))
        environment[f"SLIPBAY_{name.upper()}"] = str(folder / f"{name}.toml")
    with subprocess.Popen(
        [sys.executable, "-X", "importtime", "-m", "slipbay"],
        cwd=ROOT,
        text=True,
        env=environment,
        stderr=subprocess.PIPE,
    ) as process:
        assert process.stderr is not None
        loaded = set()
        try:
            for line in process.stderr:
                if "listens at" in line:
                    break
                loaded.add(line.rpartition("|")[2].strip().partition(".")[0])
            proc_status = Path(f"/proc/{process.pid}/status").read_text()
        finally:
            process.kill()
    return int(proc_status.partition("VmRSS:")[2].split()[0]), loaded & {
        "msgspec",
        "msgpack",
        "zstandard",
        "prometheus_client",
        "google_crc32c",
        "cryptography",
    }


def test_an_idle_router_is_small_and_imports_only_what_enabled_features_need(tmp_path: Path) -> None:
    kib, loaded = resident(tmp_path)
    assert kib < 34 * 1024
    assert not loaded
    kib, loaded = resident(tmp_path, channel=ON, fleet=ON)
    assert kib < 40 * 1024
    assert loaded == {"msgspec"}
