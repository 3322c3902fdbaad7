"""Runs a scenario: routers as processes, load on them, faults between them, and a check of the rules."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from random import Random
from typing import Any

from slipbay.address import Address
from slipbay.peer_channel.multiplexer import RATE
from slipbay.rig import report
from slipbay.rig.checker import Verdict, bounds, judge
from slipbay.rig.endpoint_list import EndpointListServer
from slipbay.rig.engines import RigEngine
from slipbay.rig.faults import Faults, Parts
from slipbay.rig.host_load import HostLoad, waited_s
from slipbay.rig.load import Clients
from slipbay.rig.platform import settings, zone_names
from slipbay.rig.process import START_S, RouterIncarnation, RouterProcess
from slipbay.rig.report import Marks, Service
from slipbay.rig.scenario import Scenario
from slipbay.rig.standins import HOST, event, host
from slipbay.rig.tcp_proxy import TcpProxy
from slipbay.rig.udp_proxy import UdpProxy

__all__ = ["Rig", "Verdict", "own_net", "play"]

PEER_PORT = 7946


def own_net() -> tuple[int, socket.socket]:
    """Reserve a network 127.x that no other run on this host uses, and return it with the socket that holds
    it.

    The network is released when the socket is closed. Runs in parallel would otherwise receive each other's
    messages.
    """
    for n in range(200):
        net = 20 + (os.getpid() + n) % 200
        kept = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            kept.bind((f"127.{net}.255.254", PEER_PORT))
            return net, kept
        except OSError as problem:
            kept.close()
            if problem.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, "all 200 nets are taken by other plays")


def joined(address: Address) -> str:
    """Return an address as ``host:port``."""
    return f"{address[0]}:{address[1]}"


class Rig:
    """One run of a scenario, with all of its processes and stand-in services."""

    def __init__(self, script: Scenario, folder: Path) -> None:
        self.script = script
        self.random = Random(script.seed)
        self.verdict = Verdict(survey=script.survey)
        self.marks = Marks()
        net, self._net = own_net()
        self.real: list[Address] = [
            (f"127.{net}.{n // 250}.{n % 250 + 1}", PEER_PORT) for n in range(script.routers)
        ]
        self.links = UdpProxy(self.real, self.random, self.marks)
        self.links.twins = {n: (f"127.{net}.1.{n + 1}", PEER_PORT) for n in range(script.routers)}
        self.engines = [RigEngine(f"s-{n}", self.verdict.book, self.marks) for n in range(script.engines)]
        self.machine = HostLoad(
            lambda: [
                life.process.pid
                for router in self.routers
                for life in router.lives
                if life.process is not None and life.alive
            ]
        )
        self.verdict.book.held_up = self.machine.held_up
        if script.channel and (form := tomllib.loads(script.channel)).get("enabled"):
            self.links.budget = form.get("rate", RATE)
        self.journal = EndpointListServer(self.marks, script.routers)
        self.wires: TcpProxy | None = None
        if script.wired:
            self.wires = TcpProxy(
                net,
                script.routers,
                script.engines,
                lambda engine: (HOST, self.engines[engine].port),
                lambda router: (HOST, self.journal.ports[router]),
            )
        self.routers = [
            RouterProcess(
                n,
                lambda seat, n=n: self._config(n, seat),  # type: ignore[misc]
                folder,
                {**script.files, "fleet": "" if n in script.without_view else script.fleet},
                self._came_up,
            )
            for n in range(script.routers)
        ]
        for number in script.jumping:
            self.routers[number].jumps = True
        self.faults = Faults(
            Parts(self.routers, self.engines, self.links, self.wires, script, self.verdict, self._tell)
        )
        self.ready: list[float] = []  # when routers started to listen
        self.began = 0.0

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The running event loop."""
        return asyncio.get_running_loop()

    def _hosts(self, router: int) -> list[dict[str, Any]]:
        """Return the endpoint list as one router receives it."""
        zones = zone_names(self.script.zones)
        found = []
        for n, engine in enumerate(self.engines):
            told = host(engine.name, engine.port, engine.state, engine.born_ms)
            if self.wires is not None:
                told["dial"] = joined(self.wires[router, n].address)
            found.append({**told, "site": zones[n % len(zones)]})
        return found

    def _config(self, number: int, seat: int) -> dict[str, Any]:
        own = self.links.twins[number] if seat else self.real[number]
        self.links.begins(own, self.loop.time())
        journal = (HOST, self.journal.ports[number])
        pos = self.journal.pos
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:0",
            "seed": f"{self.random.randrange(2**60):x}",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 512},
            "peer_listen": joined(own),
            "peers": self.links.peers(number, own),
            "peers_all": self.links.everyone(number),
            "journal": joined(self.wires[number, None].address if self.wires is not None else journal),
            "settings": settings(
                number,
                self.script.routers,
                self.script.zones,
                [tenant.name for tenant in self.script.load.sources],
                bool(self.script.gather),
            ),
            "known": {"pos": pos, "entries": [event(pos, *self._hosts(number), whole=True)]},
        }

    def _tell(self, numbers: tuple[int, ...]) -> None:
        """Publish the current state of these engines in the endpoint list."""
        told = {
            router: [hosts[n] for n in numbers]
            for router, hosts in enumerate(map(self._hosts, range(self.script.routers)))
        }
        self.journal.tell(told.__getitem__)

    def _came_up(self, life: RouterIncarnation) -> None:
        if self.began:
            self.ready.append(self.loop.time() - self.began)

    def say(self, text: str) -> None:
        """Add a line to the timeline of the run."""
        self.verdict.timeline.append(f"{self.loop.time() - self.began:7.2f} s  {text}")

    async def play(self) -> Verdict:
        """Start everything, run the scenario, stop everything, and check the rules."""
        watching = self.loop.create_task(self.machine.watch())
        await self.links.open()
        await self.journal.start()
        for engine in self.engines:
            await engine.start()
            engine.begin()
        if self.wires is not None:
            await self.wires.open()
        self._tell(tuple(range(len(self.engines))))
        try:
            for router in self.routers:
                await router.spawn()
            await self._come_up()
            self.began, waited = self.loop.time(), waited_s(os.getpid())
            self.verdict.began = self.began
            self.say(f"{len(self.routers)} routers are up")
            clients = Clients(self.script, self.routers, self.verdict, self.random, self.machine.held_up)
            await asyncio.gather(self.faults.run(self.script.do, self.began), clients.run(self.began))
            self.verdict.starved = (waited_s(os.getpid()) - waited) / (self.loop.time() - self.began)
            await self._come_up()
            if self.script.settle_s:
                await self._settle()
        finally:
            await self._end()
            watching.cancel()
        self.verdict.fullest = self.links.fullest
        self.verdict.faults += self.links.over[:5]
        judge(
            self.verdict,
            sum(len(router.lives) for router in self.routers),
            bounds(self.script),
            cancels=not self.script.wired,
        )
        for row in self.verdict.quotas:
            self.say(
                f"quota {row['quota']} from {row['since']:g} s on: worst window {row['worst']:g} beyond "
                f"{row['rate']:g} x t, bound {row['bound']:g}"
            )
        service = Service(self.verdict.wishes)
        self.verdict.seconds = service.by_second()
        self.verdict.stretches = report.stretches(
            service, self.marks, self.faults.done, self.ready, self.began, self.script.seconds
        )
        return self.verdict

    async def _come_up(self) -> None:
        """Wait until the most recent processes listen or have ended, whether by a fault or by the
        scenario.
        """
        async with asyncio.timeout(START_S):
            for router in self.routers:
                await router.lives[-1].up.wait()

    async def _end(self) -> None:
        lives = [life for router in self.routers for life in router.lives if life.process is not None]
        for life in lives:
            life.signal(signal.SIGCONT)
            life.signal(signal.SIGTERM)
        for life in lives:
            try:
                code = await asyncio.wait_for(asyncio.shield(life.ended()), 20)
            except TimeoutError:
                life.signal(signal.SIGKILL)
                code = await life.ended()
                self.verdict.faults.append(f"router {life.router.number} did not end after SIGTERM")
            if code not in (0, -signal.SIGKILL):
                # a router that cannot start logs the reason last
                said = life.router.lines[-1:] if code > 0 else []
                self.verdict.faults.append(
                    ": ".join([f"router {life.router.number} ended with {code}", *said])
                )
        for engine in self.engines:
            engine.end()
        if self.wires is not None:
            self.wires.close()
        self.journal.close()
        self.links.close()
        self._net.close()

    def _peer(self, router: RouterProcess) -> Address:
        """Return the address on which a router's latest process listens for peers."""
        seat = [life for life in router.lives if life.alive][-1].seat
        return self.links.twins[router.number] if seat else self.real[router.number]

    async def _settle(self) -> None:
        """Query every router's membership view until all views are correct."""
        from slipbay.membership.status_client import ask
        from slipbay.peer_channel.status_pages import NoAnswerError

        began = self.loop.time()
        living = [router for router in self.routers if router.alive]
        asked = [router for router in living if router.number not in self.script.without_view]
        wrong: dict[int, object] = {}
        while self.loop.time() - began < self.script.settle_s:
            wrong = {}
            for router in asked:
                try:
                    view = await asyncio.to_thread(ask, self._peer(router), 0.5)
                    if view["living"] != len(living) or view["suspect"]:
                        wrong[router.number] = view["living"], view["gone"], view["suspect"]
                except (NoAnswerError, OSError) as problem:
                    wrong[router.number] = str(problem)
            if not wrong:
                self.verdict.settled_s = self.loop.time() - began
                self.say(f"all {len(asked)} views are right")
                return
            await asyncio.sleep(0.05)
        self.verdict.faults.append(f"views are not right after {self.script.settle_s:g} s: {wrong}")


def play(script: Scenario) -> Verdict:
    """Run a scenario in an event loop of its own, with its files in a temporary directory."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Rig(script, Path(folder)).play())
