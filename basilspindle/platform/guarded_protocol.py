"""Bound what one connection of uvicorn's HTTP protocol may cost.

uvicorn bounds neither the head, the trailers nor the requests that wait on a
connection, and httptools has no limits of its own. Sizes are counted once a
read, not once a byte or a header field.
"""

import asyncio
import functools
import typing

import httptools
import uvicorn
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl
from uvicorn import server as uvicorn_server

from basilspindle.platform import connection_table

# Largest read. All connections share one buffer, as each read is parsed before
# the next.
_READ_BYTES = 16_384
_buffer = memoryview(bytearray(_READ_BYTES))
# Memory of a request with its task, and of a header field beside its text.
_REQUEST_BYTES = 4_096
_FIELD_BYTES = 160
_STATUS_TEXTS = {
    400: b'{"error":"the request is not valid HTTP; correct it"}',
    408: b'{"error":"the head of the request took too long; send it whole"}',
    413: b'{"error":"the request is too long; shorten it"}',
    431: b'{"error":"the head of the request is too long; shorten it"}',
}

_Task = asyncio.Task[None]


class _LimitReached(Exception):
    """Stop the parser from within a callback."""


class _DroppedFields(list[tuple[bytes, bytes]]):
    """List in place of the headers that keeps none of the trailers."""

    def append(self, _: tuple[bytes, bytes]) -> None:
        """Drop a field."""


_DROPPED_FIELDS = _DroppedFields()


class _Flow(flow_control.FlowControl):
    """Flow control that reads nothing while requests or responses wait."""

    def __init__(
        self, transport: asyncio.Transport, protocol: 'GuardedProtocol'
    ) -> None:
        super().__init__(transport)
        self._protocol = protocol

    def resume_reading(self) -> None:
        """Resume reading unless something else still waits."""
        if not self.write_paused and not self._protocol.must_not_read:
            super().resume_reading()


class GuardedProtocol(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol
):
    """HTTP protocol with limits on each connection and on all together.

    ``since_s`` is the time since which it is at its place in the table.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        server_state: uvicorn_server.ServerState,
        table: connection_table.ConnectionTable,
    ) -> None:
        super().__init__(config, server_state, app_state={})
        self._table = table
        self._limits = table.limits
        self._held = table.held
        self.since_s = 0.0
        # The part of the table that has this connection, if one has.
        self._place: dict[connection_table.Connection, None] | None = None
        # Whether a request has begun and is not complete.
        self._is_receiving = False
        # A request begins with its head, which its message contains.
        self._in_head = False
        self._in_message = False
        # Received since the last head, message or content of a body.
        self._section_bytes = 0
        # Part of a body that came after the response.
        self._dropped_bytes = 0
        # Estimated memory of the head that is being received.
        self._head_cost_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        # Whether the connection closes after the requests in progress.
        self._is_ending = False
        # It counts from when it is accepted.
        self._move(table.waiting)
        table.add(self)

    @property
    def held_bytes(self) -> int:
        """Return the estimated memory of the request being received."""
        if self._in_message and not self.cycle.response_complete:
            return self.cycle.held_bytes  # type: ignore[attr-defined]
        return self._head_cost_bytes

    @property
    def must_not_read(self) -> bool:
        """Tell whether the next request has to wait."""
        return self._is_ending or bool(self.pipeline)

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Take a new connection."""
        super().connection_made(transport)
        self.flow = _Flow(transport, self)
        transport.set_write_buffer_limits(self._limits.max_unread_bytes)
        if self._is_ending:
            # It gave way before it was open.
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Free what the connection holds."""
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._stop_head_timer()
        self._stop_unread_timer()
        self._move(None)
        self._table.discard(self)
        self._set_head_cost(0)
        # They never start.
        for cycle, _ in self.pipeline:
            self._release(cycle)
        self.pipeline.clear()

    def abort(self) -> None:
        """Close the connection and drop what was not sent."""
        self._set_head_cost(0)
        if self.cycle is not None:
            self.cycle.disconnected = True
            if self._in_message:
                self._release(self.cycle)
        self._is_ending = True
        if self.transport is not None:
            self.transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(_buffer[:nbytes])

    def data_received(  # type: ignore[override]
        self, data: memoryview
    ) -> None:
        """Parse data and check the limits on what is not complete."""
        if self._is_ending:
            return
        self._unset_keepalive_if_required()
        self._section_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is handled as one that asks for no other protocol.
            pass
        except httptools.HttpParserError as error:
            if not isinstance(error.__context__, _LimitReached):
                self._fail('invalid', 400)
            return
        if self.transport.is_closing():
            return
        if self._in_message:
            if self._section_bytes > self._limits.max_trailer_bytes:
                self._fail('trailer_bytes', 413)
        elif self._in_head:
            self._check_head(len(data))
        elif self._section_bytes > self._limits.max_head_bytes:
            self._fail('empty_lines', 400)
        self._choose_place()

    def _check_head(self, read_bytes: int) -> None:
        """Check a head whose end has not been received."""
        # The head may have begun in the same read as the request before.
        self._section_bytes = self._section_bytes or read_bytes
        if self._section_bytes > self._limits.max_head_bytes:
            self._fail('head_bytes', 431)
            return
        self._set_head_cost(
            self._section_bytes + _FIELD_BYTES * len(self.headers)
        )
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self._limits.head_timeout_s, self._fail, 'head_timeout', 408
            )

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._in_head = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Start a request, or refuse it if too much waits already."""
        if len(self.pipeline) >= self._limits.max_pipelined_requests:
            self._fail('pipelined_requests', 400)
            raise _LimitReached
        self._stop_head_timer()
        self._set_head_cost(0)
        self._in_head = False
        if self._held.is_full and self._table.refuses:
            # Not even a 503: it would promise that the job never runs, and an
            # earlier copy of the same submission may have been accepted.
            self._fail('held_bytes', 0)
            raise _LimitReached
        super().on_headers_complete()
        cost_bytes = (
            _REQUEST_BYTES + len(self.url) + _FIELD_BYTES * len(self.headers)
        )
        self.cycle.held_bytes = cost_bytes  # type: ignore[attr-defined]
        self._in_message = True
        self._section_bytes = 0
        self._dropped_bytes = 0
        self.headers = _DROPPED_FIELDS
        self._held.add(cost_bytes)

    def on_body(self, body: bytes) -> None:
        """Take a part of a body, or drop it if the response was sent."""
        self._section_bytes = 0
        cycle = self.cycle
        if not cycle.response_complete:
            super().on_body(body)
            if not cycle.disconnected:
                cycle.held_bytes += len(body)  # type: ignore[attr-defined]
                self._held.add(len(body))
            return
        self._dropped_bytes += len(body)
        if self._dropped_bytes > self._limits.max_body_bytes:
            self._fail('body_bytes', 413)
            raise _LimitReached

    def on_message_complete(self) -> None:
        """Expect the next request."""
        super().on_message_complete()
        self._in_message = False
        self._section_bytes = 0

    def on_response_complete(self) -> None:
        """Start the next request, or read on."""
        super().on_response_complete()
        if self.transport.is_closing():
            self._bound_flush()
            return
        self.flow.resume_reading()
        self._choose_place()

    def pause_writing(self) -> None:
        """Stop reading until the client has read its responses."""
        super().pause_writing()
        self.flow.pause_reading()
        self._start_unread_timer()

    def resume_writing(self) -> None:
        """Read on."""
        super().resume_writing()
        self._stop_unread_timer()
        self.flow.resume_reading()

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection without a request."""
        super().timeout_keep_alive_handler()
        self._bound_flush()

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: typing.Any
    ) -> None:
        task = self.loop.create_task(cycle.run_asgi(app))
        self.tasks.add(task)
        task.add_done_callback(functools.partial(self._end_task, cycle))

    def _end_task(
        self, cycle: httptools_impl.RequestResponseCycle, task: _Task
    ) -> None:
        self.tasks.discard(task)
        self._release(cycle)

    def _release(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        """Count the memory of a request as free."""
        self._held.add(-cycle.held_bytes)  # type: ignore[attr-defined]
        cycle.held_bytes = 0  # type: ignore[attr-defined]

    def _set_head_cost(self, cost_bytes: int) -> None:
        if cost_bytes != self._head_cost_bytes:
            added_bytes = cost_bytes - self._head_cost_bytes
            self._head_cost_bytes = cost_bytes
            self._held.add(added_bytes)

    def _choose_place(self) -> None:
        """Tell the table whether this connection may be closed for others."""
        if self.transport.is_closing():
            return
        cycle = self.cycle
        is_receiving = self._in_head or self._in_message
        if cycle is None:
            place = self._table.waiting
        elif not cycle.response_complete and (
            not self._in_message or self.pipeline
        ):
            # An earlier request has been received and has no response yet.
            place = None
        elif is_receiving:
            place = self._table.waiting
        else:
            place = self._table.idle
        if place is not self._place or (
            is_receiving and not self._is_receiving
        ):
            self._move(place)
        self._is_receiving = is_receiving

    def _move(
        self, place: dict[connection_table.Connection, None] | None
    ) -> None:
        if self._place is not None:
            self._place.pop(self, None)
        self._place = place
        if place is not None:
            self.since_s = self.loop.time()
            place[self] = None

    def _fail(self, limit: str, status: int) -> None:
        """Close the connection, after the responses that are due.

        ``status`` is that of a response to what was refused, 0 for none.
        """
        if self.transport.is_closing():
            return
        self._stop_head_timer()
        self._table.report(limit, status)
        cycle = self.cycle
        is_handled = cycle is not None and not cycle.response_complete
        if is_handled and not self._in_message:
            # What was received whole gets its responses.
            self._is_ending = True
            cycle.keep_alive = False
            self.flow.pause_reading()
        elif not status or (
            self._in_message
            and (self.pipeline or not is_handled or cycle.response_started)
        ):
            # Another response to the request would be taken for that to an
            # earlier or a later one.
            self.abort()
        else:
            if is_handled:
                # The handler still waits for the body and has done nothing.
                cycle.disconnected = True
                cycle.message_event.set()
            self._send_error(status)

    def _send_error(self, status: int) -> None:
        text = _STATUS_TEXTS[status]
        self.transport.write(
            b'%scontent-type: application/json\r\ncontent-length: %d\r\n'
            b'connection: close\r\n\r\n%s'
            % (httptools_impl.STATUS_LINE[status], len(text), text)
        )
        self.transport.close()
        self._bound_flush()

    def _bound_flush(self) -> None:
        """Bound the time for which a closed connection may send its rest."""
        if self.transport.get_write_buffer_size():
            self._move(self._table.waiting)
            self._start_unread_timer()

    def _start_unread_timer(self) -> None:
        if self._unread_timer is None:
            self._unread_timer = self.loop.call_later(
                self._limits.unread_timeout_s, self._end_unread
            )

    def _end_unread(self) -> None:
        self._table.report('unread_timeout')
        self.abort()

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
