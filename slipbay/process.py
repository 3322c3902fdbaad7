"""Runs one router in this process: signals, garbage collection and exit codes."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

from slipbay.config.model import Config
from slipbay.config.router import load
from slipbay.config.validation import ConfigError
from slipbay.membership.settings import load_membership
from slipbay.peer_channel.settings import load_channel, require_channel
from slipbay.quota.settings import load_quota
from slipbay.router import Router
from slipbay.scatter_gather.settings import load_gather
from slipbay.warmup.settings import load_warmup

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
EXIT_CANNOT_START = 1
EXIT_BAD_CONFIGURATION = 2


def make_router(config: Config, loop: asyncio.AbstractEventLoop) -> Router:
    """Creates a router with the optional components that operator files enable.

    Raises:
        ConfigError: if one of the files is invalid; the error names file, key and reason.
    """
    membership = load_membership(config, os.environ)
    channel = load_channel(config, os.environ, membership)
    quotas = load_quota(config, os.environ)
    if quotas is not None:
        require_channel(channel, "quota.toml")
    return Router(
        config,
        loop,
        membership,
        channel,
        load_warmup(config, os.environ, channel),
        quotas,
        load_gather(config, os.environ),
    )


async def serve(config: Config) -> None:
    """Runs a router until it has received a shutdown signal and answered all accepted requests."""
    loop = asyncio.get_running_loop()
    router = make_router(config, loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, router.shutdown.begin)
    loop.add_signal_handler(signal.SIGHUP, router.reload, os.environ)
    await router.start()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)  # blocked by __main__ until now
    gc.collect()
    gc.freeze()  # later collections skip the objects created at the start, which live until the end
    await router.shutdown.done.wait()
    # closing the loop restores the default handlers, with which a further signal would kill the process
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    router.close()


def serve_until_end() -> int:
    """Runs a router and returns the exit code: 0 after a graceful shutdown, 2 if the configuration is bad,
    1 if the router cannot start."""
    try:
        config = load(os.environ)
        asyncio.run(serve(config))
    except ConfigError as problem:
        print(f"slipbay: bad configuration: {problem}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except OSError as problem:
        print(f"slipbay: cannot start: {problem}", file=sys.stderr)
        return EXIT_CANNOT_START
    return 0
