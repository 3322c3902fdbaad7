"""The configuration of a router as typed values.

Sizes are in bytes and times in us unless a name has another unit.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from slipbay.address import Address
from slipbay.policy.settings import Settings

CLIENT_SHARE = (2, 5)
"""Fraction of all file descriptors for client connections; the platform guarantees clients a third."""
RESERVED_SOCKETS = 32  # for the endpoint watch, the peers, the listeners and the loop itself
MIN_ENGINE_SOCKETS = 8
INPUT_MEMORY_DIVISOR = 8
OUTPUT_MEMORY_DIVISOR = 10
RESULT_MEMORY_DIVISOR = 16
REQUEST_ID_MEMORY_DIVISOR = 16
ID_BYTES = 100  # memory of one id of an earlier request
MEMORY_DIVISOR = 4  # a quarter of the memory for client connections, another for open requests


@dataclass(frozen=True)
class ClassRule:
    """Statements in which a pattern matches belong to a class."""

    pattern: re.Pattern[str]
    service_class: int


@dataclass(frozen=True)
class Estimate:
    """Expected cost and memory of a statement of a class, where the statement gives none itself."""

    cost_us: int | None
    memory_mb: float


@dataclass(frozen=True)
class User:
    """A user who logs in with a password."""

    tenant: int
    password: bytes


@dataclass(frozen=True)
class SpiffeConfig:
    """Authentication of clients by X.509-SVIDs, and the tenant of each SPIFFE ID."""

    trust_domain: str
    certificate: Path
    key: Path
    bundle: Path
    tenants: Mapping[str, int]  # by SPIFFE ID


@dataclass(frozen=True)
class MysqlConfig:
    """The MySQL frontend and its engines."""

    listen: Address
    schema: str
    max_packet_bytes: int
    idle_us: int
    hint: str
    read_class: int
    write_class: int
    prepare_class: int
    rules: tuple[ClassRule, ...]
    deadlines_us: tuple[int, ...]  # by class
    estimates: tuple[Estimate, ...]  # by class
    users: Mapping[str, User]
    engines: Mapping[bytes, Address]
    engine_user: str
    engine_password: bytes
    spiffe: SpiffeConfig | None


@dataclass(frozen=True)
class StoreConfig:
    """The durable store, which holds what must survive a crash of the router. Sizes in bytes, times in us."""

    folder: Path
    segment_bytes: int
    most_bytes: int
    group_records: int
    group_bytes: int
    group_wait_us: int
    retry_us: int
    retention_us: int
    most_answer_bytes: int
    most_keys: int
    recovery_us: int
    later_us: int
    stop_on_failure: bool
    loss: LossConfig | None = None  # None: a store that opens is assumed to be up to date


@dataclass(frozen=True)
class LossConfig:
    """How the loss or rollback of a store is detected, and how clients repeat (docs/store-loss.md)."""

    window_us: int
    marked: tuple[bytes, ...]  # prefixes of the keys of frontends whose clients mark repeats
    anywhere: bool
    marker: Path | None
    fleet: bool  # other routers record the state of a store at its close


@dataclass(frozen=True)
class Limits:
    """The resources that the platform gives this process, and how they are divided."""

    cores: float
    memory_mb: int
    sockets: int

    @property
    def client_sockets(self) -> int:
        """Maximum number of open client connections."""
        numerator, denominator = CLIENT_SHARE
        return self.sockets * numerator // denominator

    @property
    def engine_sockets(self) -> int:
        """Maximum number of open engine connections: the rest without the reserve."""
        return max(MIN_ENGINE_SOCKETS, self.sockets - self.client_sockets - RESERVED_SOCKETS)

    @property
    def connection_bytes(self) -> int:
        """Limit on unsent answers and incomplete requests of all client connections."""
        return self.memory_mb * 1024 * 1024 // MEMORY_DIVISOR

    @property
    def input_bytes(self) -> int:
        """Limit on received bytes of clients that are not handled yet."""
        return self.memory_mb * 1024 * 1024 // INPUT_MEMORY_DIVISOR

    @property
    def output_bytes(self) -> int:
        """Size of all unsent answers from which clients that do not read are not read either."""
        return self.memory_mb * 1024 * 1024 // OUTPUT_MEMORY_DIVISOR

    @property
    def result_bytes(self) -> int:
        """Limit on the results that are being received from engines."""
        return self.memory_mb * 1024 * 1024 // RESULT_MEMORY_DIVISOR

    @property
    def max_request_ids(self) -> int:
        """Maximum number of ids of earlier requests that are held."""
        return self.memory_mb * 1024 * 1024 // REQUEST_ID_MEMORY_DIVISOR // ID_BYTES

    @property
    def request_bytes(self) -> int:
        """Limit on the statements of all open requests."""
        return self.memory_mb * 1024 * 1024 // MEMORY_DIVISOR


@dataclass(frozen=True)
class Config:
    """The configuration of a router without the parts that have operator files of their own."""

    name: str
    listen: Address
    seed: int
    limits: Limits
    journal: Address
    known: Mapping[str, Any]
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    settings: Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout_us: int
    idle_us: int
    max_open: int
    mysql: MysqlConfig | None = None  # None: the MySQL frontend is off
    store: StoreConfig | None = None  # None: nothing survives a restart
