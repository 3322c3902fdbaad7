"""Faults of the journal service, and datagrams between routers."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from types import SimpleNamespace

from fakes import FakeConnector, FakeLoop
from loopback import HOST, Loopback, StandInEngine, event, host, run, until

from slipbay.discovery.endpoint_watch import EndpointWatch
from slipbay.peers.udp import PeerSocket


def test_events_that_cannot_be_read_do_not_stop_the_others() -> None:
    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            journal = net.journal
            await until(lambda: bool(journal.writers))
            journal.writers[0].write(b'not json\n[1]\n"7"\n7.5\n{}\n')
            journal.tell(event(2, {**host("s-1", 1), "health": "DANCING"}, host("s-2", 2)))
            await until(lambda: net.router.endpoint_watch.pos == 2)
            assert b"s-2" in net.router.http_backend._pools
            assert b"s-1" not in net.router.http_backend._pools
            journal.tell(event(5, host("s-5", 5)))  # the events between are requested
            await until(lambda: len(journal.asked) == 2)
            assert journal.asked[-1] == b"tail 2\n"
            journal.tell(event(5, host("s-5", 5)))  # the service does not have them
            await until(lambda: net.router.endpoint_watch.pos == 5)
            assert b"s-5" in net.router.http_backend._pools

    run(test)


def test_a_corrupt_event_is_requested_again_at_the_next_heartbeat() -> None:
    """Guards against a router that misses a drain until a later event shows the gap."""

    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            await until(lambda: bool(net.journal.writers))
            net.journal.writers[0].write(b'{"pos":2,"hosts":{"se\n{"pos":2}\n')
            await until(lambda: len(net.journal.asked) == 2)
            assert net.journal.asked[-1] == b"tail 1\n"
            net.journal.tell(event(2, host("s-2", 2)))
            await until(lambda: net.router.endpoint_watch.pos == 2)

    run(test)


def test_a_connection_to_an_unavailable_service_is_retried() -> None:
    async def test() -> None:
        async with Loopback(StandInEngine()) as net:
            await until(lambda: bool(net.journal.writers))
            net.journal.server.close()
            net.journal.cut()
            await until(lambda: net.router.endpoint_watch._timer is not None and not net.journal.writers)
            net.journal.server = await asyncio.start_server(net.journal._serve, HOST, net.journal.port)
            await until(lambda: len(net.journal.asked) == 2)

    run(test)


def test_reconnects_of_many_routers_are_limited_and_spread_over_time() -> None:
    """Guards against routers that all connect at the same moments, each 5 times a second, to a failed
    service."""
    loop = FakeLoop()
    routers = 40
    connector = FakeConnector(loop, lambda transport, data: None)
    for seed in range(routers):
        config = SimpleNamespace(journal=("127.0.0.1", 1), known={}, zones=(), kinds=(), seed=seed)
        EndpointWatch(config, loop.timers, connector, lambda kind, hosts: None).start()  # type: ignore[arg-type]
    attempts = []
    for _ in range(1000):  # 10 s
        attempts.append(len(connector.waiting))
        while connector.waiting:
            connector.refuse(0)
        loop.advance(10_000)
    assert routers * 8 < sum(attempts) < routers * 20
    assert max(attempts[50:]) < routers / 4


def test_datagrams_of_peers_are_recognized_by_their_address() -> None:
    async def test() -> None:
        async with Loopback() as net:
            others = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
            for other in others:
                other.bind((HOST, 0))
                other.setblocking(False)
            local = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            local.bind((HOST, 0))
            address = local.getsockname()
            local.close()
            settings = replace(net.router.config.settings, may_gossip=True, router_count=2)
            config = replace(
                net.router.config,
                settings=settings,
                peer_listen=address,
                peers_all=others[1].getsockname(),
                peers=(address, others[0].getsockname()),
            )
            received: list[tuple[int, bytes]] = []
            peers = PeerSocket(config, lambda sender, body: received.append((sender, body)))
            await peers.start()
            others[2].sendto(b"a stranger", address)
            others[0].sendto(b"x" * 257, address)
            others[0].sendto(b"word", address)
            await until(lambda: bool(received))
            assert received == [(1, b"word")]
            loop = asyncio.get_running_loop()
            peers.send(b"to one", 1)
            assert await loop.sock_recv(others[0], 300) == b"to one"
            peers.send(b"x" * 257, None)  # longer than the limit: not sent
            peers.send(b"to nobody", 9)
            peers.send(b"to all", None)
            assert await loop.sock_recv(others[1], 300) == b"to all"
            peers.close()
            for other in others:
                other.close()

    run(test)


def test_datagrams_sent_after_close_are_dropped() -> None:
    """Guards against a traceback in the log of a graceful shutdown: timers of other modules may fire once
    more."""

    async def test() -> None:
        async with Loopback() as net:
            errors: list[object] = []
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))
            settings = replace(net.router.config.settings, may_gossip=True)
            config = replace(net.router.config, settings=settings, peer_listen=(HOST, 0), peers=((HOST, 9),))
            peers = PeerSocket(config, lambda sender, body: None)
            await peers.start()
            peers.close()
            for _ in range(3):
                peers.send(b"late", 0)
                await asyncio.sleep(0)
            assert not errors

    run(test)
