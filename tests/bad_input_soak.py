"""Plays random bad clients against a real router and checks it from the clients' and the engines' side.

``python tests/bad_input_soak.py --seeds 50`` plays the soak of seeds 0 to 49 and prints what broke. A seed
draws how many clients come, and for each of its connections what it sends: pieces of any size, stalls,
floods, unsound lines, repeats of ids, cancels, and an end at any time.

Checked are the peak of the router's memory, that the process lives, one answer at most to each request, no
load sent twice, no query sent later than 0.1 s after its client had closed, and that a client that behaves
well gets its answers.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import socket
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from crowds import LARGE_REQUEST_BYTES, QUERY_FORM, behave_well, half_request
from limited_router import MEMORY_MB, RouterUnderTest, router_process
from loopback import HOST, HttpCall, http_answer

PLAY_S = 6.0
CROWD_SEED_DIVISOR = 5  # one seed of this many has a crowd
LATE_S = 0.1  # an attempt that begins later after its client has closed is lost
MEASURING_SLACK_S = 0.1  # the stand-in engines and clients share one loop
FIRST_TXN = 1 << 60
UNSOUND_ID_DIVISOR = 100  # multiples of it are ids of unsound lines, which come more than once
LOAD = b"ticket-load"
SERVED_SHARE = 0.9


@dataclass
class Findings:
    """What clients and engines saw."""

    posts: Counter[str] = field(default_factory=Counter)
    first_post_s: dict[str, float] = field(default_factory=dict)
    classes: dict[str, str] = field(default_factory=dict)
    closed_s: dict[str, float] = field(default_factory=dict)  # when the last client with an id closed
    answers: Counter[tuple[int, int]] = field(default_factory=Counter)  # by connection and id
    broken: list[str] = field(default_factory=list)

    async def answer_call(self, call: HttpCall, _writer: asyncio.StreamWriter) -> bytes | None:
        """Acts as an engine and records each POST."""
        name = call.headers.get("x-hop-id")
        if call.method in ("DELETE", "PUT"):
            return http_answer(204)
        if call.method == "POST" and name is not None:
            self.posts[name] += 1
            self.first_post_s.setdefault(name, time.monotonic())
            self.classes[name] = call.headers["x-sort"]
        return http_answer(200, b"a\tb\tc\n", X_Sheets="1")

    def check(self) -> None:
        """Adds what the records show to be broken."""
        for name, count in self.posts.items():
            if count > 1 and self.classes[name] == LOAD.decode():
                self.broken.append(f"load {name} was sent {count} times")
            closed_s = self.closed_s.get(name)
            if closed_s is not None and self.first_post_s[name] > closed_s + LATE_S + MEASURING_SLACK_S:
                late_s = self.first_post_s[name] - closed_s
                self.broken.append(f"{name} was sent {late_s:.2f} s after its client had closed")
        self.broken.extend(f"{key} has {count} answers" for key, count in self.answers.items() if count > 1)


class BadClient:
    """One client that opens connections one after another and misbehaves on each."""

    def __init__(self, number: int, random: Random, findings: Findings, used_txns: list[int]) -> None:
        self._number = number
        self._random = random
        self._findings = findings
        self._used_txns = used_txns
        self._last_txn = FIRST_TXN + number * 1_000_000

    async def play(self, port: int) -> None:
        """Play connections until it is cancelled."""
        loop = asyncio.get_running_loop()
        connection_number = self._number * 1_000
        while True:
            connection_number += 1
            names: list[str] = []
            try:
                with contextlib.suppress(OSError), socket.socket() as connection:
                    connection.setblocking(False)
                    await loop.sock_connect(connection, (HOST, port))
                    await self._use(connection, connection_number, names)
            finally:
                self._note_end(names)
            await asyncio.sleep(self._random.uniform(0.01, 0.1))

    async def _use(self, connection: socket.socket, connection_number: int, names: list[str]) -> None:
        reading = asyncio.get_running_loop().create_task(self._read(connection, connection_number))
        try:
            await self._send(connection, names)
            if self._random.random() < 0.5:
                await asyncio.sleep(self._random.uniform(0, 0.3))
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    def _note_end(self, names: list[str]) -> None:
        for name in names:
            self._findings.closed_s[name] = max(time.monotonic(), self._findings.closed_s.get(name, 0.0))

    async def _read(self, connection: socket.socket, connection_number: int) -> None:
        loop = asyncio.get_running_loop()
        if self._random.random() < 0.3:
            return  # this client reads nothing
        rest = b""
        while data := await loop.sock_recv(connection, 65_536):
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                id = json.loads(line)["id"]
                if id is not None and id % UNSOUND_ID_DIVISOR:
                    self._findings.answers[connection_number, id] += 1

    async def _send(self, connection: socket.socket, names: list[str]) -> None:
        loop = asyncio.get_running_loop()
        for step in range(self._random.randint(1, 12)):
            data = self._draw(step * UNSOUND_ID_DIVISOR, names)
            piece_bytes = self._random.choice((1, 7, 500, 16_384, 1 << 20))
            data = data[: 400 * piece_bytes]  # a client that sends single bytes ends in the middle
            for start in range(0, len(data), piece_bytes):
                await loop.sock_sendall(connection, data[start : start + piece_bytes])
            if self._random.random() < 0.3:
                await asyncio.sleep(self._random.uniform(0, 0.4))

    def _draw(self, first_id: int, names: list[str]) -> bytes:
        """Draws what is sent next."""
        match self._random.randint(0, 6):
            case 0:
                return half_request(self._random.randint(100, LARGE_REQUEST_BYTES))
            case 1:
                size = self._random.randint(1, 3_000)
                return self._random.randbytes(size) + b"\n"
            case 2:
                return b'{"jsonrpc":"2.0","id":%d,"method":"x"}\n' % first_id * self._random.randint(1, 300)
            case 3:
                return b'{"jsonrpc":"2.0","method":"cancelRequest","params":{"id":%d}}\n' % first_id
            case 4 if self._used_txns:
                txn = self._random.choice(self._used_txns)
                names.append(f"{txn:016x}")
                return QUERY_FORM % (first_id + 1, LOAD, txn)
            case _:
                ids = range(first_id + 1, first_id + 1 + self._random.randint(1, 40))
                return b"".join(self._query(id, names) for id in ids)

    def _query(self, id: int, names: list[str]) -> bytes:
        self._last_txn += 1
        self._used_txns.append(self._last_txn)
        names.append(f"{self._last_txn:016x}")
        return QUERY_FORM % (id, self._random.choice((b"lookup", b"report", LOAD)), self._last_txn)


async def play_seed(seed: int, folder: Path, play_s: float = PLAY_S) -> list[str]:
    """Plays one seed and returns what broke."""
    random = Random(seed)
    findings = Findings()
    sockets = random.choice((256, 1024))
    has_crowd = seed % CROWD_SEED_DIVISOR == 0
    clients = sockets // 3 if has_crowd else random.randint(3, 30)
    used_txns: list[int] = []
    bad_clients = [
        BadClient(number, Random(f"{seed} {number}"), findings, used_txns) for number in range(clients)
    ]
    async with router_process(folder, sockets, findings.answer_call) as router:
        tasks = [asyncio.create_task(client.play(router.port)) for client in bad_clients]
        seen = await behave_well(router.port, play_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        _check_router(router, findings)
        if seen.ended or seen.unanswered:
            findings.broken.append(f"the client that behaves well: {seen}")
        print(f"seed {seed}: {clients} clients, {sockets} sockets, {router.memory_peak_mb:.0f} MB, {seen}")
    findings.check()
    return findings.broken


def _check_router(router: RouterUnderTest, findings: Findings) -> None:
    if router.process.returncode is not None:
        findings.broken.append(f"the router has ended with {router.process.returncode}")
        return
    if router.memory_peak_mb > MEMORY_MB:
        findings.broken.append(f"{router.memory_peak_mb:.0f} MB of {MEMORY_MB}")
    if b"Traceback" in router.log:
        findings.broken.append(router.log.decode(errors="replace").partition("Traceback")[2][:2_000])


def main() -> None:
    """Plays the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=50)
    arguments = parser.parse_args()
    failures = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        with tempfile.TemporaryDirectory() as folder:
            broken = asyncio.run(play_seed(seed, Path(folder)))
        failures += bool(broken)
        for text in broken[:5]:
            print(f"seed {seed} BROKEN: {text}", flush=True)
    print(f"{arguments.seeds} seeds, {failures} broken")


if __name__ == "__main__":
    main()
