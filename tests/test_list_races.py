"""The endpoint watch with closed and silent connections, lost events and corrupt lines, on real sockets.

Each test forces a certain order of events by what a stand-in of the journal service writes, and when.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from loopback import HOST, StandInEndpointList, event, host, run, until
from watches import Net, Script, Writer, heartbeat, lines, sends, sends_and_closes

from slipbay.discovery import endpoint_watch
from slipbay.discovery.watch_events import EndpointListReader, ListChange, UnreadableEventError
from slipbay.policy.events import EngineState
from slipbay.stream import Stream

SHORT_US = 50_000  # in place of long periods


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> pytest.MonkeyPatch:
    """Shortens the delay before a reconnect."""
    monkeypatch.setattr(endpoint_watch, "MIN_RETRY_DELAY_US", 1_000)
    monkeypatch.setattr(endpoint_watch, "MAX_RETRY_DELAY_US", 1_000)
    return monkeypatch


# Silent connections


@pytest.mark.parametrize(
    "before, requested",
    [
        ([b""], [1, 1]),
        ([lines(heartbeat(1))], [1, 1]),
        ([lines(heartbeat(1)) * 3], [1, 1]),
        ([lines(event(2, host("s-8", 8)))], [1, 2]),
        ([lines(heartbeat(1)) + b'{"pos":2,"hosts":{"whole":fal'], [1, 1]),
        ([lines(heartbeat(1)) + b"\n"], [1, 1]),
        ([None, b""], [1, 1, 1]),
        ([None, lines(event(2, host("s-8", 8)))], [1, 1, 2]),
    ],
    ids=["start", "early", "late", "event", "half a line", "empty line", "reconnect", "reconnect, event"],
)
def test_a_silent_connection_is_replaced_and_a_drain_sent_meanwhile_is_applied(
    quick: pytest.MonkeyPatch, before: list[bytes | None], requested: list[int]
) -> None:
    """``before``: the data sent on each connection; None: the connection is closed."""

    read = bytearray()
    received = endpoint_watch._WatchStream.received

    def record(stream: endpoint_watch._WatchStream, data: bytes) -> None:
        read.extend(data)
        received(stream, data)

    quick.setattr(endpoint_watch._WatchStream, "received", record)

    async def test() -> None:
        net = Net(*(sends(data) if data is not None else sends_and_closes(b"") for data in before))
        net.scripted.scripts.append(
            lambda writer: writer.write(lines(event(requested[-1] + 1, net.host(0, "DRAINING"))))
        )
        async with net:
            for number, data in enumerate(before, 1):
                await until(lambda number=number: len(net.journal.asked) >= number)  # type: ignore[misc]
                if data is not None:
                    await until(lambda data=data: bytes(read) == data)  # type: ignore[misc]
                    net.wait_for_silence()
            await until(lambda: net.watch.pos == requested[-1] + 1)
            assert net.journal.asked == [b"tail %d\n" % pos for pos in requested]
            assert await net.used_engines() == {1}

    run(test)


def test_a_slowly_opened_connection_has_the_full_time_for_the_first_heartbeat(
    quick: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that counts as silent right after the events were requested on it."""

    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.asked))
            before = net.watch._timer
            stream = net.watch._stream
            assert stream is not None
            net.watch.connection_opened(stream)
            assert net.watch._timer is not before
            assert before is not None
            assert before.action is None

    run(test)


def test_a_heartbeat_that_is_received_but_not_read_yet_counts() -> None:
    """Guards against a reconnect by each router whose process did not run for two seconds."""

    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.writers))
            stream = net.watch._stream
            assert stream is not None
            net.journal.tell(heartbeat(1))  # now in the receive buffer of the kernel
            net.wait_for_silence()
            assert net.watch._stream is stream
            net.journal.tell(event(2, net.host(0, "DRAINING")))
            await until(lambda: net.watch.pos == 2)
            assert len(net.journal.asked) == 1
            net.journal.writers[0].write_eof()  # an unread end of stream does not count as a line
            net.wait_for_silence()
            assert net.watch._stream is None

    run(test)


def test_unreadable_lines_do_not_count_as_heartbeats() -> None:
    """Guards against a connection that is kept for ever although none of its lines can be used."""

    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.writers))
            net.journal.tell(event(2, host("s-8", 8)))
            await until(lambda: net.watch.pos == 2)
            timer = net.watch._timer
            stream = net.watch._stream
            assert stream is not None
            net.journal.writers[0].write(b'garbage\n{"pos":"x"}\n[')
            await until(lambda: stream._lines.buffered_bytes == 1)
            assert net.watch._timer is timer
            net.journal.writers[0].write(b"]\n" + lines(heartbeat(2)) + b"[")
            await until(lambda: stream._lines.buffered_bytes == 1 and net.watch._timer is not timer)

    run(test)


def test_a_heartbeat_may_be_the_bare_position(quick: pytest.MonkeyPatch) -> None:
    """Guards against a watch that reconnects all day to a service whose heartbeats hold a number alone."""

    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.writers))
            timer = net.watch._timer
            net.journal.writers[0].write(b"1\n")
            await until(lambda: net.watch._timer is not timer)
            net.journal.tell(event(2, net.host(0, "DRAINING")))
            await until(lambda: net.watch.pos == 2)
            net.journal.writers[0].write(b"3\n")  # event 3 was lost
            await until(lambda: len(net.journal.asked) == 2)
            assert net.journal.asked == [b"tail 1\n", b"tail 2\n"]

    run(test)


@pytest.mark.parametrize("line", [b"-1", b"1.5", b"true", b"1e400", b'"1"', b"null", b"9" * 30])
def test_a_bare_value_that_is_no_position_is_unreadable(line: bytes) -> None:
    with pytest.raises(UnreadableEventError):
        EndpointListReader(("room-a",), ("std-8",)).read_line(line)


@pytest.mark.parametrize("pieces", [1, 40])
def test_a_service_that_sends_later_than_the_silence_timeout_is_heard_in_the_end(
    quick: pytest.MonkeyPatch, pieces: int
) -> None:
    """Guards against a router that hangs up before each line arrives, and sends to an engine that drains."""
    quick.setattr(endpoint_watch, "SILENCE_TIMEOUT_US", SHORT_US)
    delay_s = 3 * SHORT_US / 1e6

    async def test() -> None:
        net = Net()

        async def send_late(writer: Writer) -> None:
            data = lines(event(2, net.host(0, "DRAINING")))
            size = -(-len(data) // pieces)
            for start in range(0, len(data), size):
                await asyncio.sleep(delay_s / pieces)
                writer.write(data[start : start + size])

        def script(writer: Writer) -> None:
            sending.append(asyncio.ensure_future(send_late(writer)))

        sending: list[asyncio.Future[None]] = []
        net.scripted.scripts.extend([script] * 20)
        async with net:
            await until(lambda: net.watch.pos == 2)
            assert len(net.journal.asked) <= 4
            assert await net.used_engines() == {1}

    run(test, seconds=20.0)


# Drains that are sent once


def in_one_read_with_a_cut(net: Net) -> list[Script]:
    return [sends_and_closes(lines(event(2, net.host(0, "DRAINING"))))]


def half_before_a_cut(net: Net) -> list[Script]:
    line = lines(event(2, net.host(0, "DRAINING")))
    return [sends_and_closes(line[:-1]), sends(line)]


def while_disconnected(net: Net) -> list[Script]:
    return [sends_and_closes(b""), sends_and_closes(b""), sends(lines(event(2, net.host(0, "DRAINING"))))]


def twice(net: Net) -> list[Script]:
    line = lines(event(2, net.host(0, "DRAINING")))
    return [sends_and_closes(line * 2), sends(line)]


def with_another_serving_engine(net: Net) -> list[Script]:
    return [sends(lines(event(2, net.host(0, "DRAINING")), event(3, net.host(1))))]


def amid_corrupt_lines(net: Net) -> list[Script]:
    drain = lines(event(2, net.host(0, "DRAINING")))
    return [sends(b'{"pos":1e999}\n\x80\n[[\n' + b"[" * 100_000 + b"\n{}\n" + drain + b'"\n')]


def with_a_corrupt_entry(net: Net) -> list[Script]:
    broken = {**host("s-1", 1), "share": float("inf")}  # json writes it as Infinity
    return [sends(lines(event(2, broken, net.host(0, "DRAINING"), {"host": []}, 7)))]  # type: ignore[arg-type]


def with_an_unreadable_address(net: Net) -> list[Script]:
    return [sends(lines(event(2, {**net.host(0, "DRAINING"), "dial": "s-0.east:80"})))]


@pytest.mark.parametrize(
    "make_scripts",
    [
        in_one_read_with_a_cut,
        half_before_a_cut,
        while_disconnected,
        twice,
        with_another_serving_engine,
        amid_corrupt_lines,
        with_a_corrupt_entry,
        with_an_unreadable_address,
    ],
    ids=lambda make_scripts: make_scripts.__name__,
)
def test_a_drain_is_applied_however_it_is_sent(
    quick: pytest.MonkeyPatch, make_scripts: Callable[[Net], list[Script]]
) -> None:
    async def test() -> None:
        net = Net()
        net.scripted.scripts = [lambda writer: first_script(writer)]

        def first_script(writer: Writer) -> None:
            net.scripted.scripts = make_scripts(net)
            net.scripted.scripts.pop(0)(writer)

        async with net:
            await until(lambda: net.state("s-0") is EngineState.DRAINING)
            assert await net.used_engines() == {1}
            assert net.state("s-1") is EngineState.READY

    run(test)


def test_a_drain_sent_byte_by_byte_is_applied() -> None:
    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.writers))
            stream = net.watch._stream
            assert stream is not None
            for number, byte in enumerate(lines(event(2, net.host(0, "DRAINING")))[:-1], 1):
                net.journal.writers[0].write(bytes([byte]))
                await until(lambda number=number: stream._lines.buffered_bytes == number)  # type: ignore[misc]
            assert net.watch.pos == 1
            net.journal.writers[0].write(b"\n")
            await until(lambda: net.watch.pos == 2)
            assert await net.used_engines() == {1}

    run(test)


# Positions


@pytest.mark.parametrize(
    "first",
    [
        [event(3, host("s-8", 8)), event(4, host("s-9", 9))],
        [heartbeat(4), event(4, host("s-9", 9))],
        [event(3, host("s-8", 8)), heartbeat(3), event(4, host("s-9", 9)), heartbeat(4)],
    ],
    ids=["two events", "heartbeat and event", "all"],
)
def test_events_read_together_after_a_lost_event_do_not_hide_the_loss(
    quick: pytest.MonkeyPatch, first: list[dict[str, Any]]
) -> None:
    """Guards against a drain that is never requested, because the next event is applied in its place."""

    async def test() -> None:
        net = Net()
        others = lines(event(3, host("s-8", 8)), event(4, host("s-9", 9)))
        net.scripted.scripts = [
            sends(lines(*first)),
            lambda writer: writer.write(lines(event(2, net.host(0, "DRAINING"))) + others),
        ]
        async with net:
            await until(lambda: net.watch.pos == 4)
            assert net.journal.asked == [b"tail 1\n", b"tail 1\n"]
            assert await net.used_engines() == {1}

    run(test)


def test_an_event_lost_repeatedly_is_requested_again_with_growing_intervals(
    quick: pytest.MonkeyPatch,
) -> None:
    """Guards against a drain that is requested only once, and against one request each second."""

    async def test() -> None:
        ahead = lines(heartbeat(2))
        net = Net(sends(ahead), sends(ahead), sends(b""))
        async with net:
            await until(lambda: len(net.journal.asked) == 2)
            await until(lambda: net.gap_detections == 2)
            net.journal.writers[-1].write(ahead)  # the third detection
            await until(lambda: len(net.journal.asked) == 3)
            for count in range(4, 7):
                net.journal.writers[-1].write(ahead)
                await until(lambda count=count: net.gap_detections == count)  # type: ignore[misc]
            assert net.journal.asked == [b"tail 1\n"] * 3
            net.journal.tell(event(2, net.host(0, "DRAINING")))
            await until(lambda: net.watch.pos == 2)
            assert await net.used_engines() == {1}
            net.journal.tell(heartbeat(4))  # another gap: requested at once
            await until(lambda: len(net.journal.asked) == 4)

    run(test)


def test_positions_that_repeat_or_go_back_change_nothing() -> None:
    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.writers))
            drain = event(2, net.host(0, "DRAINING"))
            whole = event(3, net.host(0), net.host(1), whole=True)
            net.journal.writers[0].write(
                lines(
                    drain,
                    {**event(1, net.host(0)), "pos": 1},
                    event(2, net.host(0)),
                    event(2, net.host(0), net.host(1), whole=True),
                    heartbeat(0),
                    heartbeat(2),
                    {**whole, "pos": -1},
                    event(3, net.host(1)),
                )
            )
            await until(lambda: net.watch.pos == 3)
            assert await net.used_engines() == {1}
            assert net.state("s-0") is EngineState.DRAINING
            assert net.journal.asked == [b"tail 1\n"]

    run(test)


# Full lists


def test_a_full_list_replaces_the_stored_entries() -> None:
    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.writers))
            net.journal.tell(event(2, net.host(1), whole=True))
            await until(lambda: net.watch.pos == 2)
            assert await net.used_engines() == {1}
            net.journal.tell(event(5, net.host(0), whole=True))  # independent of earlier events
            await until(lambda: net.watch.pos == 5)
            assert await net.used_engines() == {0}
            assert net.journal.asked == [b"tail 1\n"]

    run(test)


@pytest.mark.parametrize(
    "change",
    [
        {"dial": "nowhere"},
        {"share": float("nan")},
        {"share": float("inf")},
        {"born_ms": float("inf")},
        {"born_ms": 10**18},
        {"health": "DANCING"},
        {"health": None},
        {"block": [1]},
        {"site": {}},
    ],
    ids=str,
)
def test_an_unreadable_entry_of_a_full_list_removes_no_engine(change: dict[str, Any]) -> None:
    """Guards against a list that removes an engine, or all engines, because of one bad value."""

    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.writers))
            net.journal.tell(event(2, {**net.host(0), **change}, net.host(1, "DRAINING"), whole=True))
            await until(lambda: net.watch.pos == 2)
            assert await net.used_engines() == {0}
            assert len(net.journal.asked) == 1

    run(test)


def test_a_full_list_without_a_readable_entry_removes_no_engine_and_is_requested_again(
    quick: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        corrupt = lines(event(2, {"name": "s-0"}, {"name": "s-1"}, whole=True))
        net = Net(sends(corrupt + lines(heartbeat(2))))
        async with net:
            await until(lambda: len(net.journal.asked) == 2)
            assert net.watch.pos == 1
            assert await net.used_engines() <= {0, 1}
            net.journal.tell(event(2, whole=True))  # an empty list is valid
            await until(lambda: net.state("s-0") is net.state("s-1") is EngineState.GONE)

    run(test)


def test_a_bad_number_does_not_end_the_connection() -> None:
    """Guards against a line that ends the connection and is requested again, endlessly."""

    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.writers))
            net.journal.writers[0].write(b'{"pos":1e999}\n{"pos":1e999,"hosts":{"hosts":[]}}\n')
            net.journal.writers[0].write(b'{"pos":%s}\n' % (b"9" * 5000))
            net.journal.tell(event(2, net.host(0, "DRAINING")))
            await until(lambda: net.watch.pos == 2)
            assert len(net.journal.asked) == 1

    run(test)


def test_decoding_a_line_raises_only_its_own_error() -> None:
    """Bytes of valid lines are changed, removed, duplicated and cut at random places with a fixed seed."""
    reader = EndpointListReader(["room-a"], ["std-8"])
    random = Random(29)
    read = 0
    valid = lines(event(2, host("s-0", 1), host("s-1", 2, "DRAINING", born_ms=7), whole=True)).rstrip()
    tokens = [b"1e999", b"-1", b"null", b"[]", b"{}", b'""', b'"\\ud800"', b"NaN", b"9" * 5000, b"[" * 5000]
    for _ in range(20_000):
        line = bytearray(valid)
        for _ in range(random.randrange(1, 4)):
            at = random.randrange(len(line))
            end = min(len(line), at + random.randrange(0, 12))
            line[at:end] = random.choice(
                [bytes([random.randrange(256)]), b"", bytes(line[at:end]) * 2, *tokens]
            )
        try:
            change = reader.read_line(bytes(line))
        except UnreadableEventError:
            continue
        read += 1
        if isinstance(change, ListChange):
            reader.apply(change)
            assert all(host.entry.size > 0 and host.entry.ready_at_us >= 0 for host in reader.endpoints)
    assert read > 100


# Connections


@pytest.mark.parametrize("later", [None, 0, 1, 2])
def test_nothing_is_requested_on_a_connection_that_opens_after_it_was_abandoned(later: int | None) -> None:
    """The address changes in the turns of the event loop between a connection and its transport."""

    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.asked))
            old = StandInEndpointList()
            new = StandInEndpointList()
            await old.start()
            await new.start()
            connector = net.router.connector
            hand_over = connector.hand_over

            def handed_over(stream: Stream, sock: socket.socket) -> None:
                connector.hand_over = hand_over  # type: ignore[method-assign]
                hand_over(stream, sock)
                if later is None:
                    net.watch.follow((HOST, new.port))
                else:
                    asyncio.get_running_loop().create_task(follow(later))

            async def follow(turns: int) -> None:
                for _ in range(turns):
                    await asyncio.sleep(0)
                net.watch.follow((HOST, new.port))

            connector.hand_over = handed_over  # type: ignore[method-assign]
            net.watch.follow((HOST, old.port))
            await until(lambda: bool(old.asked and new.asked))
            assert new.asked == [b"tail 1\n"]
            assert old.asked == [b""] or later == 1 or later == 2  # then the request was sent already
            old.writers[0].write(lines(event(2, net.host(0, "DRAINING"))))
            new.tell(event(2, net.host(1, "DRAINING")))
            await until(lambda: net.watch.pos == 2)
            assert await net.used_engines() == {0}
            for server in (old.server, new.server):
                server.close()

    run(test)


def test_the_service_is_reached_soon_after_connects_that_timed_out(quick: pytest.MonkeyPatch) -> None:
    """Guards against a connect without a timeout, and against delays that grow without limit."""

    async def test() -> None:
        quick.setattr(endpoint_watch, "CONNECT_TIMEOUT_US", SHORT_US)
        async with Net() as net:
            await until(lambda: bool(net.journal.asked))
            with socket.create_server((HOST, 0), backlog=0) as full:
                address = full.getsockname()
                fillers = [socket.socket() for _ in range(4)]  # further connections are not answered
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex(address)
                net.watch._failures = 50
                net.watch.follow(address)
                assert net.watch._failures == 0  # failures belong to the old address
                await until(lambda: net.watch._failures == 3)
                for filler in fillers:
                    filler.close()
                full.setblocking(False)
                loop = asyncio.get_running_loop()
                while True:
                    taken, _ = await loop.sock_accept(full)
                    with taken:
                        if (line := await loop.sock_recv(taken, 100)) != b"":
                            break
                assert line == b"tail 1\n"

    run(test)


def test_the_delay_after_many_failures_is_bounded() -> None:
    async def test() -> None:
        async with Net() as net:
            await until(lambda: bool(net.journal.asked))
            for failures in (0, 8, 100_000):
                net.watch._failures = failures
                now = net.router.clock.fresh()
                net.watch._schedule_reconnect()
                fires_us = next(at for at, _, timer in net.router.timers._heap if timer is net.watch._timer)
                assert now + 100_000 <= fires_us <= now + endpoint_watch.MAX_RETRY_DELAY_US

    run(test)
