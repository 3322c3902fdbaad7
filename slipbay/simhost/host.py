"""Runs many router instances for the simulator; reads batches on stdin and writes replies on stdout."""

from __future__ import annotations

import sys
from typing import BinaryIO

from slipbay.policy.controller import Controller
from slipbay.policy.events import Event
from slipbay.simhost.event_reader import EventReader, InstanceEvent, InstanceStarted, InstanceStopped
from slipbay.simhost.frames import BATCH_HEADER, MalformedInputError
from slipbay.simhost.reply_writer import ReplyWriter

EXIT_MALFORMED = 2  # exit status after input that violates the protocol
EXIT_NO_READER = 1  # exit status when the simulator has closed standard output


class SimulatorHost:
    """The running router instances, and the reader, which holds the registered engine lists."""

    def __init__(self) -> None:
        self._controllers: dict[int, Controller] = {}
        self._reader = EventReader()

    def answer(self, now_us: int, count: int, payload: bytes) -> ReplyWriter:
        """Pass the events of a batch to their instances; returns the reply with their actions.

        Raises ``MalformedInputError`` if the input violates the protocol.
        """
        reply = ReplyWriter()
        pending: dict[int, list[Event]] = {}
        for item in self._reader.read(count, payload):
            match item:
                case InstanceStarted(instance, seed, settings):
                    self._controllers[instance] = Controller(settings, seed)
                    pending[instance] = []
                case InstanceStopped(instance):
                    self._controllers.pop(instance, None)
                    pending.pop(instance, None)
                case InstanceEvent(instance, event):
                    pending.setdefault(instance, []).append(event)
        for instance, events in pending.items():
            controller = self._controllers.get(instance)
            if controller is None:
                raise MalformedInputError(f"events for instance {instance}, which is not running")
            run_instance(instance, controller, now_us, events, reply)
        return reply


def run_instance(
    instance: int, controller: Controller, now_us: int, events: list[Event], reply: ReplyWriter
) -> None:
    """Run one instance; an exception in its policy is reported as an internal error of the instance."""
    try:
        actions = controller.handle(now_us, events)
    except Exception as problem:  # the protocol requires that every exception is reported
        reply.add_error(instance, f"{type(problem).__name__}: {problem}")
    else:
        reply.add(instance, actions)


def read_exactly(source: BinaryIO, size: int, description: str) -> bytes:
    """Read ``size`` bytes; raises ``MalformedInputError`` if the input ends earlier."""
    data = source.read(size)
    if len(data) != size:
        raise MalformedInputError(f"the input ends inside {description}: got {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends."""
    host = SimulatorHost()
    while first := source.read(1):
        header = first + read_exactly(source, BATCH_HEADER.size - 1, "the header of a batch")
        length, count, now_us, batch_number = BATCH_HEADER.unpack(header)
        payload = read_exactly(source, length, "a batch")
        sink.write(host.answer(now_us, count, payload).frame(batch_number))
        sink.flush()


def main() -> int:
    """Serve standard input and output; returns the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInputError as problem:
        print(f"slipbay.simhost: bad input: {problem}", file=sys.stderr)
        return EXIT_MALFORMED
    except BrokenPipeError:
        return EXIT_NO_READER
    return 0
