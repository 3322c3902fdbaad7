"""Creates and connects the components of a router.

Optional components are imported in the functions that create them, as most routers run without them.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from slipbay.address import Address
from slipbay.backends.http import HttpBackend
from slipbay.backends.mysql import MysqlBackend
from slipbay.backends.pool import SocketBudget
from slipbay.backends.result_budget import ResultBudget
from slipbay.clock import Clock
from slipbay.config.model import Config, StoreConfig
from slipbay.config.validation import ConfigError
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.model import Endpoint
from slipbay.core.timers import Timers
from slipbay.discovery.endpoint_watch import EndpointWatch
from slipbay.frontends.jsonrpc import JsonRpcConnection, JsonRpcFrontend
from slipbay.frontends.mysql import MysqlConnection, MysqlFrontend
from slipbay.frontends.request_ids import RequestIds
from slipbay.frontends.server import Server
from slipbay.lifecycle import GracefulShutdown, RunningConfig, read_new_config
from slipbay.log import log
from slipbay.membership.settings import MembershipConfig
from slipbay.memory_watch import MemoryWatch
from slipbay.peer_channel.settings import ChannelConfig
from slipbay.peers.udp import PeerSocket
from slipbay.policy import Controller
from slipbay.policy.events import EngineList, EstimatesRestored, FleetSize, ListKind, PeerMessage
from slipbay.stream import Connector

if TYPE_CHECKING:
    from slipbay.idempotency.coordinator import IdempotencyCoordinator
    from slipbay.idempotency.witnesses import StoreWitnesses
    from slipbay.membership.service import MembershipService
    from slipbay.peer_channel.interfaces import Send
    from slipbay.peer_channel.udp_link import UdpLink
    from slipbay.quota.plan import QuotaPlan
    from slipbay.quota.service import QuotaService
    from slipbay.scatter_gather.config_schema import ScatterGatherPlan
    from slipbay.warmup.plan import WarmupPlan
    from slipbay.warmup.service import WarmupService

CHANNEL_TOPIC = 0  # status requests about the channel itself
WARMUP_SNAPSHOT = b""
"""Name of the stored snapshot of the policy's estimates."""
SCATTER_GATHER_SNAPSHOT = b"g"
"""Name of the stored snapshot of the latencies of scattered queries."""


class Router:
    """All components of one query router; optional ones are None unless their operator file enables them.

    Raises:
        ConfigError: if an enabled component needs an optional package that is not installed, or another
            component that is not enabled.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        membership: MembershipConfig | None = None,
        channel: ChannelConfig | None = None,
        warmup: WarmupPlan | None = None,
        quotas: QuotaPlan | None = None,
        scatter_gather: ScatterGatherPlan | None = None,
    ) -> None:
        self.config = config
        self._start_config = RunningConfig(config, membership, channel, scatter_gather, quotas is not None)
        self._has_endpoints = False
        self.clock = Clock(loop)
        self.timers = Timers(loop, self.clock)
        self.connector = Connector(loop, self.timers)
        self.policy = Controller(config.settings, config.seed)
        self.dispatcher = Dispatcher(
            loop,
            self.clock,
            self.timers,
            self.policy,
            config.settings,
            config.max_open,
            config.limits.request_bytes,
        )
        self.policy.on_timer_cancelled(self.dispatcher.cancel_policy_timer)
        self.server = Server(self.timers, config.limits, self.clock.now)
        self.server.turns.exact_now = self.clock.exact
        self.shutdown = GracefulShutdown(self.timers, self.dispatcher, self.server, config.settings.classes)
        sockets = SocketBudget(config.limits.engine_sockets)
        self.http_backend = self._make_http_backend(sockets)
        self.mysql_backend = self._make_mysql_backend(sockets)
        self.endpoint_watch = EndpointWatch(config, self.timers, self.connector, self._endpoints_changed)
        self.peers = PeerSocket(
            config, lambda sender, body: self.dispatcher.notify(PeerMessage(sender, body))
        )
        self.dispatcher.send_gossip = self.peers.send
        self.membership = self._make_membership(membership, channel) if membership is not None else None
        self.channel = self._open_channel(channel) if channel is not None else None
        self.quotas = self._make_quotas(quotas)
        self.warmup = self._make_warmup(warmup) if warmup is not None else None
        self.idempotency = self._make_idempotency(config.store, loop) if config.store is not None else None
        self.jsonrpc_frontend = self._make_jsonrpc_frontend()
        if scatter_gather is not None:
            self._make_scatter_gather(scatter_gather)
        self._memory_watch = MemoryWatch(self.timers, config.limits.memory_mb, self._held_by_clients)

    def is_healthy(self) -> bool:
        """Whether the router can serve clients: it has an endpoint list, listens and is not shutting down."""
        return self.server.listening and self._has_endpoints and not self.shutdown.has_begun

    # Components of every router

    def _make_jsonrpc_frontend(self) -> JsonRpcFrontend:
        longest_deadline_us = max(service_class.deadline_us for service_class in self.config.settings.classes)
        ids = RequestIds(self.clock.now, longest_deadline_us, self.config.limits.max_request_ids)
        return JsonRpcFrontend(self.config, self.dispatcher, self.http_backend, self.is_healthy, ids)

    def _make_http_backend(self, sockets: SocketBudget) -> HttpBackend:
        backend = HttpBackend(self.config, self.timers, self.connector, sockets, self.clock.now)
        backend.exact_now = self.clock.exact
        backend.result_budget = ResultBudget(self.config.limits.result_bytes)
        self.dispatcher.backends.append(backend)
        return backend

    def _make_mysql_backend(self, sockets: SocketBudget) -> MysqlBackend | None:
        mysql = self.config.mysql
        if mysql is None:
            return None
        backend = MysqlBackend(self.config, mysql, self.timers, self.connector, sockets, self.clock.now)
        self.dispatcher.backends.append(backend)
        return backend

    # Optional components

    def _make_membership(
        self, membership: MembershipConfig, channel: ChannelConfig | None
    ) -> MembershipService:
        from slipbay.membership.service import MembershipService

        if channel is not None:
            membership = channel.limit_membership(membership)
        service = MembershipService(
            self.config, membership, self.timers, self.clock.now, self.peers, self._fleet_size_changed
        )
        self.shutdown.start_callbacks.append(lambda _delay_us: service.leave())
        return service

    def _open_channel(self, channel: ChannelConfig) -> UdpLink:
        """Creates the peer channel; components register with its multiplexer before ``start``."""
        from slipbay.peer_channel.interfaces import FrameKind
        from slipbay.peer_channel.multiplexer import Multiplexer
        from slipbay.peer_channel.udp_link import UdpLink

        config = self.config
        parts: dict[int, float] = {FrameKind[name.upper()]: part for name, part in channel.shares.items()}
        if self.membership is None:
            del parts[FrameKind.VIEW]
        multiplexer = Multiplexer(
            config.settings.router_number,
            len(config.peers),
            config.seed,
            self.clock.now(),
            key=channel.key,
            old_key=channel.old_key,
            rate=channel.rate,
            shares=parts,
        )
        # leases need the time at which a message is handled, not that of the turn of the event loop
        link = UdpLink(multiplexer, self.peers, self.timers, self.clock.fresh)
        if channel.status:
            link.topics[CHANNEL_TOPIC] = lambda: {"name": config.name, **multiplexer.status()}
        self.dispatcher.send_gossip = link.send_gossip
        if self.membership is not None:
            self.membership.mux = multiplexer
        return link

    def _make_quotas(self, plan: QuotaPlan | None) -> QuotaService | None:
        if plan is None or self.channel is None:
            return None
        from slipbay.quota.service import QuotaService

        service = QuotaService(self.config, plan, self.dispatcher, self.clock, self.timers, self.channel)
        self.shutdown.start_callbacks.append(service.end)
        return service

    def _make_warmup(self, plan: WarmupPlan) -> WarmupService:
        from slipbay.peer_channel.interfaces import FrameKind
        from slipbay.warmup.service import WarmupService

        service = WarmupService(
            plan,
            self.config.settings,
            self.config.seed,
            self.dispatcher,
            self.timers,
            self.clock.now,
            self._estimates,
            self.policy.queued_count,
        )
        if (membership := self.membership) is not None:
            service.machine.survey.running_routers = lambda: len(membership.machine.live_numbers)
        if (channel := self.channel) is not None:
            channel.mux.add(FrameKind.COMEBACK, service.machine)
            if CHANNEL_TOPIC in channel.topics:  # status requests from this machine are enabled
                name = self.config.name
                channel.topics[FrameKind.COMEBACK] = lambda: {"name": name, **service.status()}
        return service

    def _estimates(self) -> tuple[EstimatesRestored, int]:
        """Returns estimates for a router in warm-up, and the number of retries in the retry window."""
        from slipbay.warmup.service import GROUPS

        now = self.clock.now()
        window_start_us = now - self.config.settings.retry_window_us
        recent_retries = sum(at > window_start_us for at, _ in self.policy.retry_budget().retries)
        return self.policy.estimates(now, GROUPS), recent_retries

    def _make_idempotency(
        self, store: StoreConfig, loop: asyncio.AbstractEventLoop
    ) -> IdempotencyCoordinator:
        try:
            from slipbay.idempotency.coordinator import IdempotencyCoordinator
            from slipbay.idempotency.store_opening import open_writer
        except ImportError as problem:
            raise ConfigError(
                f"want the extra packages of slipbay[store]: {problem}", file="store.toml"
            ) from None
        coordinator = IdempotencyCoordinator(
            store,
            self.dispatcher,
            self.clock,
            self.timers,
            open_writer(store, loop),
            self.policy.retry_budget,
            self.shutdown.begin,
            *self._make_witnesses(store),
        )
        self.dispatcher.idempotency_guard = coordinator.guard
        if self.warmup is not None:
            coordinator.snapshot_receivers[WARMUP_SNAPSHOT] = self.warmup.restore_snapshot
            self.warmup.keep_snapshots(coordinator.store_snapshot)
        return coordinator

    def _make_witnesses(
        self, store: StoreConfig
    ) -> tuple[StoreWitnesses, Callable[[list[Send]], None]] | tuple[()]:
        """Creates the store witnesses and the function that sends their messages, if they are enabled."""
        if store.loss is None or not store.loss.fleet:
            return ()
        size = len(self.config.peers)
        if self.channel is None or size <= 1:
            raise ConfigError(
                "want other routers in the configuration, and the channel enabled (channel.toml)",
                "loss.fleet",
                "store.toml",
            )
        from slipbay.idempotency.witnesses import StoreWitnesses
        from slipbay.peer_channel.interfaces import FrameKind

        channel = self.channel
        router_number = self.config.settings.router_number
        witnesses = StoreWitnesses(router_number, size, secrets.randbits(32), self.clock.now())
        channel.mux.add(FrameKind.LIVES, witnesses)
        channel.mux.drop_handlers[FrameKind.LIVES] = witnesses.unsent
        return witnesses, lambda sends: channel.send(FrameKind.LIVES, sends)

    def _make_scatter_gather(self, plan: ScatterGatherPlan) -> None:
        from slipbay.scatter_gather.service import ScatterGatherService

        service = ScatterGatherService(
            plan,
            self.config,
            self.dispatcher,
            self.timers,
            self.clock.now,
            self.policy.engine_condition,
            self.jsonrpc_frontend.is_recent_txn,
            self.channel,
        )
        self.jsonrpc_frontend.scatterer = service.scatterer
        if (coordinator := self.idempotency) is not None:
            coordinator.snapshot_receivers[SCATTER_GATHER_SNAPSHOT] = service.restore_snapshot
            service.save_snapshots(lambda value: coordinator.store_snapshot(value, SCATTER_GATHER_SNAPSHOT))

    # Callbacks of components

    def _held_by_clients(self) -> dict[str, int]:
        """Sizes and numbers of what clients make the router hold, for the log."""
        return {**self.server.held(), "open_requests": len(self.dispatcher.requests)}

    def _fleet_size_changed(self, live_routers: int) -> None:
        self.dispatcher.notify(FleetSize(live_routers))
        if self.quotas is not None:
            self.quotas.set_running_routers(live_routers)

    def _endpoints_changed(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        self._has_endpoints = self._has_endpoints or bool(endpoints)
        if self.idempotency is not None:
            self.idempotency.endpoints_changed(kind, endpoints)
        if self.warmup is not None:
            self.warmup.endpoints_changed(kind, endpoints)
        for backend in self.dispatcher.backends:
            backend.endpoints_changed(kind, endpoints)
        self.dispatcher.notify(EngineList(kind, tuple(endpoint.entry for endpoint in endpoints)))

    # Start, reload and end

    async def start(self) -> None:
        """Opens the peer socket, starts the components in the order of their dependencies, then listens.

        Raises:
            OSError: if an address cannot be listened on.
        """
        await self.peers.start()
        if self.membership is not None:
            self.membership.start()
        if self.quotas is not None:
            self.quotas.start()
        if self.channel is not None:
            self.channel.start()
        if self.warmup is not None:
            self.warmup.start()
        self.endpoint_watch.start(self.warmup.machine.limits.list_slot() if self.warmup is not None else 0)
        if self.idempotency is not None:
            mysql_backends = [self.mysql_backend] if self.mysql_backend is not None else []
            self.idempotency.start([self.http_backend, *mysql_backends])
        addresses = self._listen()
        listening = ", ".join(
            f"{host}:{port}" for (host, _), port in zip(addresses, self.server.ports, strict=True)
        )
        log("start", f"{self.config.name} listens at {listening}")

    def _listen(self) -> list[Address]:
        """Opens the listeners and returns their configured addresses in order."""
        frontend = self.jsonrpc_frontend
        self.server.listen(self.config.listen, lambda: JsonRpcConnection(self.server, frontend))
        addresses = [self.config.listen]
        if self.config.mysql is not None and self.mysql_backend is not None:
            mysql_frontend = MysqlFrontend(
                self.config, self.config.mysql, self.dispatcher, self.mysql_backend
            )
            self.server.listen(self.config.mysql.listen, lambda: MysqlConnection(self.server, mysql_frontend))
            addresses.append(self.config.mysql.listen)
        return addresses

    def reload(self, environment: Mapping[str, str]) -> None:
        """Handles SIGHUP: reads the whole configuration, and applies what can change in a running router."""
        plan = self.quotas.machine.plan if self.quotas is not None else None
        new = read_new_config(self._start_config, plan, environment)
        if new is None:
            return
        if self.idempotency is not None and new.store is not None:
            self.idempotency.reload(new.store)
        if self.quotas is not None and new.quotas is not None:
            self.quotas.apply_plan(new.quotas)
        self.endpoint_watch.follow(new.config.journal)

    def close(self) -> None:
        """Closes the store and the peer socket after the shutdown."""
        if self.idempotency is not None:
            self.idempotency.close()
        self.peers.close()
