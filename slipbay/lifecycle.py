"""Configuration reload (SIGHUP) and graceful shutdown (SIGTERM) of a running router."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from slipbay.config.model import Config, StoreConfig
from slipbay.config.router import load
from slipbay.config.store import store_changes
from slipbay.config.validation import ConfigError
from slipbay.core.dispatcher import Dispatcher
from slipbay.core.timers import Timers
from slipbay.frontends.server import Server
from slipbay.log import log
from slipbay.membership.settings import MembershipConfig
from slipbay.peer_channel.settings import ChannelConfig, load_channel
from slipbay.policy.events import ShutdownDeadline
from slipbay.policy.settings import ServiceClass
from slipbay.quota.settings import load_quota
from slipbay.scatter_gather.settings import load_gather

if TYPE_CHECKING:
    from slipbay.quota.plan import QuotaPlan
    from slipbay.scatter_gather.config_schema import ScatterGatherPlan

DRAIN_DELAY_US = 700_000  # after SIGTERM, while requests are still accepted
KILL_US = 3_000_000  # after DRAIN_DELAY_US, the earliest SIGKILL; earlier if all deadlines are shorter
LAST_ANSWERS_US = 200_000  # before the earliest SIGKILL, to send the last answers to clients
NOT_COMPARED = ("journal", "known", "store")
"""Fields of the configuration that a reload applies at once, or that have no effect on a running router."""


class GracefulShutdown:
    """Accepts requests for ``DRAIN_DELAY_US`` longer, answers all accepted requests, then sets ``done``.

    Attributes:
        has_begun: whether the shutdown has started.
        done: set once no client connection and no request is open.
        start_callbacks: called at the start of the shutdown with the time in us for which requests are
            still accepted.
    """

    def __init__(
        self, timers: Timers, dispatcher: Dispatcher, server: Server, classes: Sequence[ServiceClass]
    ) -> None:
        self._timers = timers
        self._dispatcher = dispatcher
        self._server = server
        self._longest_deadline_us = max(service_class.deadline_us for service_class in classes)
        self.has_begun = False
        self.done = asyncio.Event()
        self.start_callbacks: list[Callable[[int], None]] = []

    def begin(self) -> None:
        """Starts the shutdown, after SIGTERM or when the store cannot be written; later calls do nothing."""
        if self.has_begun:
            return
        self.has_begun = True
        log("end", "graceful shutdown requested")
        for notify in self.start_callbacks:
            notify(DRAIN_DELAY_US)
        self._timers.after(DRAIN_DELAY_US, self._drain)
        answer_time_us = max(0, min(self._longest_deadline_us, KILL_US) - LAST_ANSWERS_US)
        self._dispatcher.notify(
            ShutdownDeadline(self._dispatcher.clock.now() + DRAIN_DELAY_US + answer_time_us)
        )

    def _drain(self) -> None:
        self._server.on_empty = self._finish_if_idle
        self._dispatcher.on_idle = self._finish_if_idle
        self._server.drain(self._longest_deadline_us)

    def _finish_if_idle(self) -> None:
        if not self._server.connections and not self._dispatcher.requests:
            self.done.set()


@dataclass(frozen=True)
class RunningConfig:
    """The configuration at the start of the router, for comparison with a new one."""

    config: Config
    membership: MembershipConfig | None
    channel: ChannelConfig | None
    scatter_gather: ScatterGatherPlan | None
    has_quotas: bool


@dataclass(frozen=True)
class NewConfig:
    """A new configuration, read from the files and validated."""

    config: Config
    quotas: QuotaPlan | None
    pending: tuple[str, ...]
    """Fields and components whose changes take effect only at the next start."""

    @property
    def store(self) -> StoreConfig | None:
        """The store's settings, of which it applies some at once."""
        return self.config.store


def read_new_config(
    running: RunningConfig, quotas: QuotaPlan | None, environment: Mapping[str, str]
) -> NewConfig | None:
    """Reads and validates the whole configuration; logs an error and returns None if it is invalid.

    Args:
        running: the configuration at the start of the router.
        quotas: the current plan; a new plan must be a valid successor.
        environment: the environment of this process, which has the names of the files.
    """
    try:
        config = load(environment)
        channel = load_channel(config, environment, running.membership)
        new_quotas = load_quota(config, environment, quotas)
        scatter_gather = load_gather(config, environment)
    except ConfigError as problem:
        log("reload", f"bad configuration, the old one stays: {problem}")
        return None
    pending = _changed_fields(running.config, config)
    pending += store_changes(running.config.store, config.store)
    if channel != running.channel:
        pending.append("channel")
    if (new_quotas is not None) != running.has_quotas:
        pending.append("quota")
    if scatter_gather != running.scatter_gather:
        pending.append("gather")
    suffix = f"; takes effect at the next start: {', '.join(pending)}" if pending else ""
    log("reload", f"the configuration was read again{suffix}")
    return NewConfig(config, new_quotas, tuple(pending))


def _changed_fields(old: Config, new: Config) -> list[str]:
    """Returns the names of the fields that differ, except those in ``NOT_COMPARED``."""
    return [
        field.name
        for field in fields(new)
        if field.name not in NOT_COMPARED and getattr(new, field.name) != getattr(old, field.name)
    ]
