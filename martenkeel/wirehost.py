"""Hosts many instances on the simulator's wire: batches on standard input, replies on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from martenkeel import wire
from martenkeel.decide import Controller
from martenkeel.interface import Event


def read_exactly(source: BinaryIO, size: int, what: str) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise wire.MalformedFrame(f"the input ends inside {what}: {len(data)} of {size} bytes")
    return data


def run_instance(
    who: int, controller: Controller | None, now: int, events: list[Event], reply: wire.Reply
) -> None:
    """Let one instance act; what goes wrong inside the decisions is told as its internal error."""
    if controller is None:
        raise wire.MalformedFrame(f"events for instance {who}, which has not started")
    try:
        actions = controller.handle(now, events)
    except Exception as problem:  # the wire wants the text of whatever failed
        reply.add_error(who, f"{type(problem).__name__}: {problem}")
    else:
        reply.add(who, actions)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    controllers: dict[int, Controller] = {}
    lists: wire.Lists = {}
    while first := source.read(1):
        header = first + read_exactly(source, wire.BATCH_HEADER.size - 1, "the header of a batch")
        length, count, now, turn = wire.BATCH_HEADER.unpack(header)
        payload = read_exactly(source, length, "a batch")
        reply, pending = wire.Reply(), dict[int, list[Event]]()
        for item in wire.read_batch(count, payload, lists):
            match item:
                case wire.Started(who, seed, settings):
                    controllers[who], pending[who] = Controller(settings, seed), []
                case wire.Stopped(who):
                    controllers.pop(who, None)
                    pending.pop(who, None)
                case wire.Arrived(who, event):
                    pending.setdefault(who, []).append(event)
        for who, events in pending.items():
            run_instance(who, controllers.get(who), now, events, reply)
        sink.write(reply.frame(turn))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.MalformedFrame as problem:
        print(f"martenkeel: bad input: {problem}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
