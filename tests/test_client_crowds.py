"""A router process with the least memory that the platform gives, and clients that ask too much of it."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from crowds import QUERY_FORM, Observed, behave_well, crowd_process
from limited_router import MEMORY_MB, router_process
from loopback import HOST, HttpCall, http_answer, run

QUIET_S = 1.5
CROWD_S = 5.0
ADDED_LATENCY_S = 0.1  # of another client's p99 beside a flood
SERVED_SHARE = 0.95
FINISHED_REQUESTS = 32_000
OPEN_REQUESTS = 32  # of one client
FIRST_TXN = 1 << 60
PAGE = b"x" * 5_990 + b"\tb\tc\n"


async def observe(folder: Path, play: str, clients: int, sockets: int) -> tuple[Observed, Observed, float]:
    """Returns what a client saw before and beside a crowd, and the router's peak of memory in MB."""
    async with router_process(folder, sockets) as router:
        quiet = await behave_well(router.port, QUIET_S)
        async with crowd_process(router.port, clients, play):
            await asyncio.sleep(0.5)
            beside = await behave_well(router.port, CROWD_S)
        print(f"{play} {clients} {sockets}: quiet [{quiet}] beside [{beside}] {router.memory_peak_mb:.1f} MB")
        return quiet, beside, router.memory_peak_mb


@pytest.mark.parametrize(
    "play, clients, sockets",
    [
        ("stop_half_way", 340, 1024),
        ("stop_half_way", 500, 1024),
        ("stop_half_way", 100, 256),
        ("write_slowly", 340, 1024),
        ("send_many_fields", 340, 1024),
        ("read_nothing", 300, 1024),
        ("read_nothing", 10, 256),
    ],
)
def test_crowds_keep_the_process_within_its_memory(
    tmp_path: Path, play: str, clients: int, sockets: int
) -> None:
    """Guards against a process that is killed for its memory, although what it counts is within a limit."""

    async def test() -> None:
        _, _, peak_mb = await observe(tmp_path, play, clients, sockets)
        assert peak_mb <= MEMORY_MB

    run(test)


@pytest.mark.parametrize("clients", [340, 500])
def test_clients_that_stop_half_way_do_not_displace_a_client_that_behaves_well(
    tmp_path: Path, clients: int
) -> None:
    async def test() -> None:
        _, beside, _ = await observe(tmp_path, "stop_half_way", clients, 1024)
        assert beside.ended == beside.unanswered == 0, str(beside)
        assert beside.served >= SERVED_SHARE * beside.sent, str(beside)

    run(test)


@pytest.mark.parametrize("play", ["flood_queries", "flood_unsound", "read_nothing"])
def test_one_connection_at_full_speed_does_not_delay_another_client(tmp_path: Path, play: str) -> None:
    async def test() -> None:
        quiet, beside, peak_mb = await observe(tmp_path, play, 1, 1024)
        assert peak_mb <= MEMORY_MB
        assert beside.served >= SERVED_SHARE * beside.sent, str(beside)
        assert beside.latency(0.99) <= quiet.latency(0.99) + ADDED_LATENCY_S, (str(quiet), str(beside))

    run(test)


async def answer_eight_pages(call: HttpCall, writer: asyncio.StreamWriter) -> bytes | None:
    """Answers queries with 48,000 bytes in eight pages."""
    if call.method in ("DELETE", "PUT"):
        return http_answer(204)
    number = int(call.path.rpartition("/")[2]) if call.method == "GET" else 0
    return http_answer(200, PAGE, **({"X_Sheet": str(number)} if number else {"X_Sheets": "8"}))


def test_clients_that_read_no_long_answers_keep_the_process_within_its_memory(tmp_path: Path) -> None:
    """Guards against answers that are held without a limit, as clients ask and do not read."""

    async def test() -> None:
        async with router_process(tmp_path, 1024, answer_eight_pages) as router:
            async with crowd_process(router.port, 200, "ask_and_read_nothing"):
                beside = await behave_well(router.port, 2 * CROWD_S)
            print(f"{beside} {router.memory_peak_mb:.1f} MB", router.log.decode()[-300:])
            assert router.memory_peak_mb <= MEMORY_MB
            assert beside.ended == beside.unanswered == 0, str(beside)

    run(test)


def test_finished_requests_hold_no_memory_until_their_deadline(tmp_path: Path) -> None:
    """Guards against memory that grows with each request of a class with a long deadline."""

    async def test() -> None:
        async with router_process(tmp_path, 1024) as router:
            reader, writer = await asyncio.open_connection(HOST, router.port)
            for first in range(0, FINISHED_REQUESTS, OPEN_REQUESTS):
                numbers = range(first + 1, first + 1 + OPEN_REQUESTS)
                lines = [QUERY_FORM % (number, b"report", FIRST_TXN + number) for number in numbers]
                writer.write(b"".join(lines).replace(b'"limit":2000', b'"limit":25000'))
                answers = [json.loads(await reader.readline()) for _ in lines]
                assert {answer["id"] for answer in answers} == set(numbers)
            assert router.memory_peak_mb <= MEMORY_MB

    run(test)
