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
from slipbay.rig.checker import RunReport, check_rules, quota_bounds
from slipbay.rig.endpoint_list import EndpointListServer
from slipbay.rig.engines import RigEngine
from slipbay.rig.faults import Faults, RunComponents
from slipbay.rig.host_load import HostLoad, cpu_wait_s
from slipbay.rig.load import Clients
from slipbay.rig.platform import settings, zone_names
from slipbay.rig.process import START_S, RouterIncarnation, RouterProcess
from slipbay.rig.report import EventRecorder, Service
from slipbay.rig.scenario import Scenario
from slipbay.rig.standins import HOST, event, host
from slipbay.rig.tcp_proxy import TcpProxy
from slipbay.rig.udp_proxy import UdpProxy

__all__ = ["Rig", "RunReport", "reserve_network", "run_scenario"]

PEER_PORT = 7946


def reserve_network() -> tuple[int, socket.socket]:
    """Reserve a network 127.x that no other run on this host uses, and return it with the socket that holds
    it.

    The network is released when the socket is closed. Runs in parallel would otherwise receive each other's
    messages.
    """
    for n in range(200):
        net = 20 + (os.getpid() + n) % 200
        reserved_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reserved_socket.bind((f"127.{net}.255.254", PEER_PORT))
            return net, reserved_socket
        except OSError as problem:
            reserved_socket.close()
            if problem.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, "all 200 nets are taken by other plays")


def format_address(address: Address) -> str:
    """Return an address as ``host:port``."""
    return f"{address[0]}:{address[1]}"


class Rig:
    """One run of a scenario, with all of its processes and stand-in services."""

    def __init__(self, script: Scenario, folder: Path) -> None:
        self.script = script
        self.random = Random(script.seed)
        self.run_report = RunReport(survey=script.survey)
        self.recorder = EventRecorder()
        net, self._network_socket = reserve_network()
        self.real: list[Address] = [
            (f"127.{net}.{n // 250}.{n % 250 + 1}", PEER_PORT) for n in range(script.routers)
        ]
        self.links = UdpProxy(self.real, self.random, self.recorder)
        self.links.twin_addresses = {n: (f"127.{net}.1.{n + 1}", PEER_PORT) for n in range(script.routers)}
        self.engines = [
            RigEngine(f"s-{n}", self.run_report.execution_log, self.recorder) for n in range(script.engines)
        ]
        self.host_load = HostLoad(
            lambda: [
                incarnation.process.pid
                for router in self.routers
                for incarnation in router.incarnations
                if incarnation.process is not None and incarnation.alive
            ]
        )
        self.run_report.execution_log.host_delay_s = self.host_load.host_delay_s
        if script.channel and (channel_settings := tomllib.loads(script.channel)).get("enabled"):
            self.links.budget_bytes_per_s = channel_settings.get("rate", RATE)
        self.endpoint_list = EndpointListServer(self.recorder, script.routers)
        self.tcp_proxy: TcpProxy | None = None
        if script.has_tcp_proxies:
            self.tcp_proxy = TcpProxy(
                net,
                script.routers,
                script.engines,
                lambda engine: (HOST, self.engines[engine].port),
                lambda router: (HOST, self.endpoint_list.ports[router]),
            )
        self.routers = [
            RouterProcess(
                n,
                lambda slot, n=n: self._config(n, slot),  # type: ignore[misc]
                folder,
                {**script.operator_files, "fleet": "" if n in script.without_view else script.fleet},
                self._on_router_ready,
            )
            for n in range(script.routers)
        ]
        for number in script.jumping_routers:
            self.routers[number].clock_may_jump = True
        self.faults = Faults(
            RunComponents(
                self.routers, self.engines, self.links, self.tcp_proxy, script, self.run_report, self._publish
            )
        )
        self.ready_times_s: list[float] = []  # when routers started to listen
        self.began = 0.0

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The running event loop."""
        return asyncio.get_running_loop()

    def _endpoint_entries(self, router: int) -> list[dict[str, Any]]:
        """Return the endpoint list as one router receives it."""
        zones = zone_names(self.script.zones)
        entries = []
        for n, engine in enumerate(self.engines):
            entry = host(engine.name, engine.port, engine.state, engine.started_ms)
            if self.tcp_proxy is not None:
                entry["dial"] = format_address(self.tcp_proxy[router, n].address)
            entries.append({**entry, "site": zones[n % len(zones)]})
        return entries

    def _config(self, number: int, slot: int) -> dict[str, Any]:
        own = self.links.twin_addresses[number] if slot else self.real[number]
        self.links.start_incarnation(own, self.loop.time())
        endpoint_list = (HOST, self.endpoint_list.ports[number])
        position = self.endpoint_list.position
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:0",
            "seed": f"{self.random.randrange(2**60):x}",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 512},
            "peer_listen": format_address(own),
            "peers": self.links.peers(number, own),
            "peers_all": self.links.broadcast_address(number),
            "journal": format_address(
                self.tcp_proxy[number, None].address if self.tcp_proxy is not None else endpoint_list
            ),
            "settings": settings(
                number,
                self.script.routers,
                self.script.zones,
                [tenant.name for tenant in self.script.load.sources],
                bool(self.script.gather),
            ),
            "known": {
                "pos": position,
                "entries": [event(position, *self._endpoint_entries(number), whole=True)],
            },
        }

    def _publish(self, numbers: tuple[int, ...]) -> None:
        """Publish the current state of these engines in the endpoint list."""
        entry = {
            router: [hosts[n] for n in numbers]
            for router, hosts in enumerate(map(self._endpoint_entries, range(self.script.routers)))
        }
        self.endpoint_list.publish(entry.__getitem__)

    def _on_router_ready(self, incarnation: RouterIncarnation) -> None:
        if self.began:
            self.ready_times_s.append(self.loop.time() - self.began)

    def say(self, text: str) -> None:
        """Add a line to the timeline of the run."""
        self.run_report.timeline.append(f"{self.loop.time() - self.began:7.2f} s  {text}")

    async def execute(self) -> RunReport:
        """Start everything, run the scenario, stop everything, and check the rules."""
        watching = self.loop.create_task(self.host_load.watch())
        await self.links.open()
        await self.endpoint_list.start()
        for engine in self.engines:
            await engine.start()
            engine.start_work()
        if self.tcp_proxy is not None:
            await self.tcp_proxy.open()
        self._publish(tuple(range(len(self.engines))))
        try:
            for router in self.routers:
                await router.spawn()
            await self._wait_until_ready()
            self.began, waited_before_s = self.loop.time(), cpu_wait_s(os.getpid())
            self.run_report.began = self.began
            self.say(f"{len(self.routers)} routers are up")
            clients = Clients(
                self.script, self.routers, self.run_report, self.random, self.host_load.host_delay_s
            )
            await asyncio.gather(self.faults.run(self.script.do, self.began), clients.run(self.began))
            self.run_report.starved = (cpu_wait_s(os.getpid()) - waited_before_s) / (
                self.loop.time() - self.began
            )
            await self._wait_until_ready()
            if self.script.settle_s:
                await self._check_views()
        finally:
            await self._stop_all()
            watching.cancel()
        self.run_report.max_bytes_in_second = self.links.max_bytes_in_second
        self.run_report.faults += self.links.over_budget[:5]
        check_rules(
            self.run_report,
            sum(len(router.incarnations) for router in self.routers),
            quota_bounds(self.script),
            cancels=not self.script.has_tcp_proxies,
        )
        for row in self.run_report.quotas:
            self.say(
                f"quota {row['quota']} from {row['since']:g} s on: worst window {row['worst']:g} beyond "
                f"{row['rate']:g} x t, bound {row['bound']:g}"
            )
        service = Service(self.run_report.client_requests)
        self.run_report.seconds = service.by_second()
        self.run_report.intervals = report.intervals(
            service, self.recorder, self.faults.performed, self.ready_times_s, self.began, self.script.seconds
        )
        return self.run_report

    async def _wait_until_ready(self) -> None:
        """Wait until the most recent processes listen or have ended, whether by a fault or by the
        scenario.
        """
        async with asyncio.timeout(START_S):
            for router in self.routers:
                await router.incarnations[-1].ready_or_ended.wait()

    async def _stop_all(self) -> None:
        incarnations = [
            incarnation
            for router in self.routers
            for incarnation in router.incarnations
            if incarnation.process is not None
        ]
        for incarnation in incarnations:
            incarnation.signal(signal.SIGCONT)
            incarnation.signal(signal.SIGTERM)
        for incarnation in incarnations:
            try:
                code = await asyncio.wait_for(asyncio.shield(incarnation.wait_until_ended()), 20)
            except TimeoutError:
                incarnation.signal(signal.SIGKILL)
                code = await incarnation.wait_until_ended()
                self.run_report.faults.append(f"router {incarnation.router.number} did not end after SIGTERM")
            if code not in (0, -signal.SIGKILL):
                # a router that cannot start logs the reason last
                reason = incarnation.router.lines[-1:] if code > 0 else []
                self.run_report.faults.append(
                    ": ".join([f"router {incarnation.router.number} ended with {code}", *reason])
                )
        for engine in self.engines:
            engine.stop()
        if self.tcp_proxy is not None:
            self.tcp_proxy.close()
        self.endpoint_list.close()
        self.links.close()
        self._network_socket.close()

    def _peer_address(self, router: RouterProcess) -> Address:
        """Return the address on which a router's latest process listens for peers."""
        slot = [incarnation for incarnation in router.incarnations if incarnation.alive][-1].slot
        return self.links.twin_addresses[router.number] if slot else self.real[router.number]

    async def _check_views(self) -> None:
        """Query every router's membership view until all views are correct."""
        from slipbay.membership.status_client import request_status
        from slipbay.peer_channel.status_pages import NoAnswerError

        began = self.loop.time()
        running = [router for router in self.routers if router.alive]
        queried = [router for router in running if router.number not in self.script.without_view]
        incorrect: dict[int, object] = {}
        while self.loop.time() - began < self.script.settle_s:
            incorrect = {}
            for router in queried:
                try:
                    view = await asyncio.to_thread(request_status, self._peer_address(router), 0.5)
                    if view["living"] != len(running) or view["suspect"]:
                        incorrect[router.number] = view["living"], view["gone"], view["suspect"]
                except (NoAnswerError, OSError) as problem:
                    incorrect[router.number] = str(problem)
            if not incorrect:
                self.run_report.settled_s = self.loop.time() - began
                self.say(f"all {len(queried)} views are right")
                return
            await asyncio.sleep(0.05)
        self.run_report.faults.append(f"views are not right after {self.script.settle_s:g} s: {incorrect}")


def run_scenario(script: Scenario) -> RunReport:
    """Run a scenario in an event loop of its own, with its files in a temporary directory."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Rig(script, Path(folder)).execute())
