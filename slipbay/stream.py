"""Base of all TCP connections: a shared receive buffer, writes with back-pressure, and connecting."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from slipbay.address import Address
from slipbay.core.timers import Timers

RECEIVE_BYTES = 64 * 1024
_RECEIVE_BUFFER = bytearray(RECEIVE_BYTES)
_RECEIVE_VIEW = memoryview(_RECEIVE_BUFFER)
CONNECT_STARTED = (0, errno.EINPROGRESS, errno.EINTR)  # results of ``connect_ex`` that are no failure
# States in the kernel's tcp_info
TCP_ESTABLISHED = 1
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
TCP_LAST_ACK = 9
TCP_CLOSING = 11
PEER_CLOSED_STATES = frozenset((TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING))
OPENED_STATES = frozenset((TCP_ESTABLISHED, TCP_CLOSE_WAIT))
LINGER_OFF = struct.pack("ii", 0, 0)  # the system sends what is written, after the close too
LINGER_RESET = struct.pack("ii", 1, 0)  # a close drops what the peer has not acknowledged, and resets
_COUNT = struct.Struct("i")  # as the system returns a number of bytes
PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)  # computed once, as combining enum flags is slow


class Stream(asyncio.BufferedProtocol):
    """A TCP connection with callbacks for subclasses.

    All connections receive into the same buffer: asyncio fills it and calls ``buffer_updated`` in one step,
    so that a thousand idle connections need no receive buffers of their own.
    """

    transport: asyncio.Transport | None = None
    sock: socket.socket | None = None  # socket of the transport, to check for unread data
    lost = False
    closed_locally = False  # closed by this process
    knows_tcp_state = False  # the system tells the state of the connection
    receive_bytes = RECEIVE_BYTES  # most that is received at once
    congested = False  # the write buffer is above the transport's high-water mark
    half_closed = False  # the write side is closed; received data is dropped

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is established."""
        if not isinstance(transport, asyncio.Transport):
            raise TypeError(f"want a transport of a stream; got {transport!r}")
        self.transport = transport
        if self.half_closed:
            self.half_close()
        elif self.closed_locally:  # closed while its transport was created
            transport.abort()
        else:
            self.knows_tcp_state = self._system_tells_tcp_state()
            self.opened()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - the signature is asyncio's
        """The buffer into which asyncio writes received data; shared by all connections."""
        return _RECEIVE_VIEW[: self.receive_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Called by asyncio when it has written ``nbytes`` bytes to the buffer."""
        if not self.half_closed:
            self.received(bytes(_RECEIVE_VIEW[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the signature is asyncio's
        """Called by asyncio when the connection has ended, closed by either side."""
        if not self.lost:
            self.lost = True
            self.ended()

    def pause_writing(self) -> None:
        """Called by asyncio when the write buffer exceeds its high-water mark."""
        self.congested = True
        self.flow_changed()

    def resume_writing(self) -> None:
        """Called by asyncio when the write buffer falls below its low-water mark."""
        self.congested = False
        self.flow_changed()

    def write(self, data: bytes) -> None:
        """Send bytes; they are dropped if the connection is not established or is being closed."""
        if self.transport is not None and not self.lost and not self.closing:
            self.transport.write(data)

    @property
    def closing(self) -> bool:
        """Whether no more data can be written."""
        return self.transport is None or self.transport.is_closing() or self.half_closed

    @property
    def unsent(self) -> int:
        """Bytes that have not yet been passed to the kernel."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def unacknowledged(self) -> int:
        """Bytes that were written and that the other side's system has not acknowledged; those that are still
        in this process if the system does not tell."""
        if self.sock is None or self.lost:
            return self.unsent
        try:
            queued = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
        except OSError:
            return self.unsent
        return self.unsent + int(_COUNT.unpack(queued)[0])

    def is_stale(self) -> bool:
        """Whether the connection has ended, or has unread data or an unread end from the other side."""
        if self.lost or self.transport is None or self.transport.is_closing() or self.sock is None:
            return True
        try:
            self.sock.recv(1, PEEK_FLAGS)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def has_unread_data(self) -> bool:
        """Whether the other side has sent data that is not read yet."""
        try:
            return self.sock is not None and bool(self.sock.recv(1, PEEK_FLAGS))
        except OSError:  # no data has arrived, or the connection is broken
            return False

    def tcp_state(self) -> int | None:
        """The state of the connection as the kernel's tcp_info has it; None if it is not known."""
        if self.sock is None or self.lost:
            return None
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return None
        return info[0] if info else None

    def _system_tells_tcp_state(self) -> bool:
        """Whether the state of the opening connection is that of an open one, or of one that was reset."""
        state = self.tcp_state()
        if state != TCP_CLOSE or self.sock is None:
            return state in OPENED_STATES
        try:
            self.sock.getpeername()
        except OSError:
            return True
        return False

    def has_peer_closed(self) -> bool:
        """Whether the other side has closed or reset the connection, even if data before that is unread.

        If the system does not tell the state, the end is noticed when it is read.
        """
        return self.knows_tcp_state and self.tcp_state() in PEER_CLOSED_STATES

    def set_reset_on_close(self, is_enabled: bool) -> bool:
        """Choose what happens to written data that the peer has not acknowledged when the socket is closed,
        by this program or by the end of its process: it is dropped and the connection is reset, or the system
        goes on sending it. Returns whether the system has accepted the choice."""
        if self.sock is None:
            return False
        linger = LINGER_RESET if is_enabled else LINGER_OFF
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close after all written data has been sent."""
        self.closed_locally = True
        if self.transport is not None:
            self.transport.close()

    def half_close(self) -> None:
        """Close the write side after all written data has been sent, and drop received data until the other
        side closes too, which ends the connection. A full close with unread data would reset the connection,
        and data that the other side has not received yet would be lost."""
        self.closed_locally = self.half_closed = True
        if self.transport is None:
            return  # not established yet; ``connection_made`` continues
        if not self.transport.can_write_eof():  # TLS has its own end-of-data message
            self.transport.close()
            return
        try:
            self.transport.write_eof()
        except OSError:  # the other side has reset it
            self.transport.abort()
        else:
            self.transport.resume_reading()

    def abort(self) -> None:
        """Close immediately. Data that the system has taken is still sent, unless ``set_reset_on_close`` is
        enabled."""
        self.closed_locally = True
        if self.transport is not None:
            self.transport.abort()

    # For subclasses

    def opened(self) -> None:
        """The connection is established."""

    def received(self, data: bytes) -> None:
        """Data was received."""

    def ended(self) -> None:
        """The connection has ended."""

    def flow_changed(self) -> None:
        """``congested`` has changed."""


class PendingConnect:
    """One pending connect. It ends exactly once: by success, by ``failed`` or by ``abandon``."""

    def __init__(
        self,
        connector: Connector,
        address: Address,
        stream: Stream,
        timeout_us: int,
        failed: Callable[[int], None],
    ) -> None:
        self._connector = connector
        self._stream = stream
        self._failed = failed
        self._is_pending = True
        self._sock: socket.socket | None = None
        error = self._connect(address)
        self._timer = (
            connector.timers.after(0, lambda: self._fail(error))
            if error
            else connector.timers.after(timeout_us, lambda: self._fail(errno.ETIMEDOUT))
        )

    def _connect(self, address: Address) -> int:
        """Start to connect; returns the error if the connect fails immediately, else 0.

        After an immediate failure the socket is writable and has no ``SO_ERROR``, so it must not be polled.
        """
        try:
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error = self._sock.connect_ex(address)
            if error not in CONNECT_STARTED:
                return error
            self._connector.loop.add_writer(self._sock.fileno(), self._writable)
        except OSError as problem:
            return problem.errno or errno.EIO
        return 0

    def _stop_polling(self) -> None:
        self._is_pending = False
        self._timer.cancel()
        if self._sock is not None:
            self._connector.loop.remove_writer(self._sock.fileno())

    def _writable(self) -> None:
        if self._sock is None:
            return
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(error)
        else:
            self._stop_polling()
            self._connector.hand_over(self._stream, self._sock)

    def _fail(self, error: int) -> None:
        self.abandon()
        self._failed(error)

    def abandon(self) -> None:
        """Abandon the connect. No effect after success or failure; then the caller aborts the stream."""
        if self._is_pending:
            self._stop_polling()
            if self._sock is not None:
                self._sock.close()


class Connector:
    """Opens connections. asyncio creates transports only in coroutines, so each connection has a task until
    its transport exists: a single task would create them one after another, and a turn of the loop is long in
    a busy process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers) -> None:
        self.loop = loop
        self.timers = timers

    def connect(
        self, address: Address, stream: Stream, timeout_us: int, failed: Callable[[int], None]
    ) -> PendingConnect:
        """Start to connect. Later ``stream.opened`` or ``failed(errno)`` is called, but neither within this
        call nor after the connect is abandoned."""
        return PendingConnect(self, address, stream, timeout_us, failed)

    def hand_over(self, stream: Stream, sock: socket.socket) -> None:
        """Create the transport of a connected socket, in a separate task."""
        stream.sock = sock
        # No reference to the task is needed, as the loop references what it awaits
        self.loop.create_task(self._create_transport(stream, sock))

    async def _create_transport(self, stream: Stream, sock: socket.socket) -> None:
        try:
            if stream.closed_locally:
                raise ConnectionAbortedError("closed before its transport was created")
            await self.loop.create_connection(lambda: stream, sock=sock)
        except OSError:
            sock.close()
            stream.connection_lost(None)
