"""Connects on real sockets that end immediately, end twice, or end and time out in one turn of the loop."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from loopback import HOST, run, until
from watches import no_descriptors

from slipbay.clock import Clock
from slipbay.core.timers import Timers
from slipbay.stream import Connector, PendingConnect, Stream

BROADCAST = ("255.255.255.255", 9)  # connect() fails immediately: nothing is sent
REFUSED = (errno.EACCES, errno.ENETUNREACH)  # with a network, and without one
LONG_US = 30_000_000


class RecordingStream(Stream):
    """Records its callbacks."""

    def __init__(self) -> None:
        self.log: list[str] = []

    def opened(self) -> None:
        self.log.append("opened")
        if self.closed_locally:  # closed while its transport was created: the owner must abort it
            self.abort()

    def ended(self) -> None:
        self.log.append("ended")


def make_connector() -> Connector:
    loop = asyncio.get_running_loop()
    return Connector(loop, Timers(loop, Clock(loop)))


@contextmanager
def listener() -> Iterator[socket.socket]:
    with socket.create_server((HOST, 0)) as server:
        server.setblocking(False)
        yield server


async def turns(count: int = 5) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def test_a_connect_that_fails_immediately_opens_no_connection() -> None:
    """Guards against taking a socket for connected because it is writable and has no error."""

    async def test() -> None:
        errors: list[int] = []
        stream = RecordingStream()
        make_connector().connect(BROADCAST, stream, LONG_US, errors.append)
        assert not errors  # never within the call
        await until(lambda: bool(errors or stream.log))
        assert len(errors) == 1
        assert errors[0] in REFUSED
        assert not stream.log

    run(test)


@pytest.mark.parametrize("what", ["connect", "descriptors"])
def test_a_connect_that_failed_immediately_and_is_abandoned_reports_no_failure(what: str) -> None:
    """Guards against a reported failure of a connection that its owner has already replaced."""

    async def test() -> None:
        errors: list[int] = []
        connector = make_connector()
        if what == "connect":
            pending: PendingConnect | None = connector.connect(
                BROADCAST, RecordingStream(), LONG_US, errors.append
            )
        else:
            with no_descriptors():
                pending = connector.connect((HOST, 9), RecordingStream(), LONG_US, errors.append)
        assert pending is not None
        pending.abandon()
        last: list[int] = []
        # Its failure is reported after all earlier ones
        connector.connect(BROADCAST, RecordingStream(), LONG_US, last.append)
        await until(lambda: bool(last))
        assert not errors

    run(test)


def test_without_a_descriptor_a_connect_fails_soon_and_the_next_one_may_succeed() -> None:
    async def test() -> None:
        errors: list[int] = []
        connector = make_connector()
        stream = RecordingStream()
        with listener() as server:
            with no_descriptors():
                connector.connect(server.getsockname(), RecordingStream(), LONG_US, errors.append)
            assert not errors
            await until(lambda: bool(errors))
            assert errors == [errno.EMFILE]
            connector.connect(server.getsockname(), stream, LONG_US, errors.append)
            await until(lambda: stream.log == ["opened"])
            stream.abort()
            await until(lambda: stream.lost)

    run(test)


def test_a_connect_that_succeeds_and_times_out_in_one_turn_ends_once() -> None:
    async def test() -> None:
        errors: list[int] = []
        connector = make_connector()
        stream = RecordingStream()
        with listener() as server:
            connector.connect(
                server.getsockname(), stream, 0, errors.append
            )  # on loopback it succeeds immediately
            await until(lambda: bool(errors or stream.log))
            await turns()
            assert (errors, stream.log) in (([], ["opened"]), ([errno.ETIMEDOUT], []))
            stream.abort()
            await turns()

    run(test)


@pytest.mark.parametrize("later", [None, 0, 1, 2, 3])
def test_a_stream_aborted_after_its_hand_over_ends_once_and_closes_its_socket(later: int | None) -> None:
    """``later``: turns from the hand-over to the abort, which is before (None), during or after the creation
    of the transport."""

    async def test() -> None:
        errors: list[int] = []
        connector = make_connector()
        stream = RecordingStream()
        hand_over = connector.hand_over

        def handed_over(stream: Stream, sock: socket.socket) -> None:
            hand_over(stream, sock)
            if later is None:
                abandon()
            else:
                asyncio.get_running_loop().create_task(abort(later))

        def abandon() -> None:
            pending.abandon()
            stream.abort()

        async def abort(later: int) -> None:
            await turns(later)
            abandon()

        connector.hand_over = handed_over  # type: ignore[method-assign]
        with listener() as server:
            pending = connector.connect(server.getsockname(), stream, LONG_US, errors.append)
            other, _ = await asyncio.get_running_loop().sock_accept(server)
            with other:
                other.setblocking(False)
                assert await asyncio.get_running_loop().sock_recv(other, 1) == b""
            await until(lambda: stream.lost)
            assert stream.log.count("ended") == 1
            assert not errors

    run(test)


def test_a_connection_reset_before_its_transport_is_created_ends_once() -> None:
    async def test() -> None:
        errors: list[int] = []
        connector = make_connector()
        stream = RecordingStream()
        hand_over = connector.hand_over

        def handed_over(stream: Stream, sock: socket.socket) -> None:
            other, _ = server.accept()
            other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            other.close()
            hand_over(stream, sock)

        connector.hand_over = handed_over  # type: ignore[method-assign]
        with listener() as server:
            connector.connect(server.getsockname(), stream, LONG_US, errors.append)
            await until(lambda: stream.lost)
            assert stream.log in (["opened", "ended"], ["ended"])
            assert not errors

    run(test)


def test_a_failure_callback_may_connect_again_immediately() -> None:
    """Guards against a writer callback that stays on a descriptor which the next socket reuses."""

    async def test() -> None:
        errors: list[int] = []
        connector = make_connector()
        stream = RecordingStream()
        with listener() as server:

            def again(error: int) -> None:
                errors.append(error)
                target = server.getsockname() if len(errors) == 3 else closed
                connector.connect(target, stream, LONG_US, again)

            with socket.socket() as bound:  # bound but not listening: connects are refused
                bound.bind((HOST, 0))
                closed = bound.getsockname()
                connector.connect(closed, stream, LONG_US, again)
                await until(lambda: bool(stream.log))
            assert errors == [errno.ECONNREFUSED] * 3
            assert stream.log == ["opened"]
            stream.abort()
            await until(lambda: stream.lost)

    run(test)
