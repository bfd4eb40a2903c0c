"""Stand-in for the platform's log with keyed topics."""

import asyncio
import base64
import functools
import json
import struct

from tests.standins.platform import network as network_module
from tests.standins.platform import server as server_module

_PAGE_SIZE = 500
_DEFAULT_MAX_KB = 1_024
# A response to a read begins with the end and the first offset.
_HEADER_BYTES = 16


class _Partition:
    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.first = 0
        self.epoch = -1
        self.next_seq: int | None = None
        self.responses: dict[int, bytes] = {}
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class StandinStore:
    """Log with one partition per topic, whose history can be dropped."""

    def __init__(self) -> None:
        self._topics: dict[str, _Partition] = {}
        # Newest value and offset of each key by topic, which are kept when
        # records are dropped.
        self.newest: dict[str, dict[str, tuple[bytes, int]]] = {}
        self.server = server_module.Server(self._handle)
        self._doors: list[server_module.Server] = []
        # If set, each door has the addresses of one machine's paths.
        self.network: network_module.Network | None = None

    async def __aenter__(self) -> 'StandinStore':
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *error: object) -> None:
        for server in (self.server, *self._doors):
            await server.__aexit__(*error)

    async def open_door(self, machine: str = '') -> server_module.Server:
        """Return a server of this store that may fail for some only.

        With a network, it serves the machine of that name.
        """
        door = server_module.Server(
            functools.partial(self._handle, machine=machine)
        )
        await door.__aenter__()
        self._doors.append(door)
        return door

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append one record, as operators and workers do."""
        self._append(self._topic(topic), topic, [(key, value)])

    def drop_history(self) -> None:
        """Drop all records except the newest of each key."""
        for partition in self._topics.values():
            partition.first = partition.end
            partition.records = []
            partition.appended.set()

    def _topic(self, topic: str) -> _Partition:
        if topic not in self._topics:
            self._topics[topic] = _Partition()
            self.newest[topic] = {}
        return self._topics[topic]

    def _append(
        self,
        partition: _Partition,
        topic: str,
        records: list[tuple[str, bytes]],
    ) -> int:
        offset = partition.end
        for key, value in records:
            newest = self.newest[topic]
            if value:
                newest[key] = (value, partition.end)
            else:
                newest.pop(key, None)
            partition.records.append((key, value))
        appended, partition.appended = partition.appended, asyncio.Event()
        appended.set()
        return offset

    async def _handle(
        self, request: server_module.Request, machine: str = ''
    ) -> server_module.Reply:
        call = request.path.rpartition('/')[2]
        topic = request.query['topic']
        if call == 'log-append':
            if self.network is not None:
                body = self.network.restore(request.body)
                request = request._replace(body=body)
            return self._serve_append(request, topic)
        if call == 'log-newest':
            return await self._serve_newest(request, topic, machine)
        reply = await self._serve_read(request, topic)
        if self.network is not None and machine:
            body = await self.network.translate(machine, reply.body)
            reply = reply._replace(body=body)
        return reply

    def _serve_append(
        self, request: server_module.Request, topic: str
    ) -> server_module.Reply:
        partition = self._topic(topic)
        query = request.query
        if 'at' in query and int(query['at']) != partition.end:
            return _reply(412, {'end': partition.end})
        records = _decode_records(request.body)
        if 'producer' not in query:
            offset = self._append(partition, topic, records)
            return _reply(200, {'offset': offset, 'end': partition.end})
        epoch = int(query['epoch'])
        if epoch < partition.epoch:
            return _reply(409, {'reason': 'fenced'})
        if epoch > partition.epoch:
            partition.epoch = epoch
            partition.next_seq = None
            partition.responses = {}
        if not records:
            return _reply(200, {'offset': partition.end})
        seq = int(query['seq'])
        if seq in partition.responses:
            return server_module.Reply(200, partition.responses[seq])
        if partition.next_seq not in (None, seq):
            return _reply(
                409, {'reason': 'seq', 'expected': partition.next_seq}
            )
        partition.next_seq = seq + 1
        offset = self._append(partition, topic, records)
        response = _reply(200, {'offset': offset, 'end': partition.end})
        partition.responses[seq] = response.body
        for old in sorted(partition.responses)[:-5]:
            del partition.responses[old]
        return response

    async def _serve_newest(
        self, request: server_module.Request, topic: str, machine: str
    ) -> server_module.Reply:
        partition = self._topic(topic)
        after = request.query.get('after', '')
        newest_items = sorted(
            (key, newest)
            for key, newest in self.newest[topic].items()
            if key > after
        )
        end = partition.end
        items = []
        for key, (value, offset) in newest_items[:_PAGE_SIZE]:
            if self.network is not None and machine:
                value = await self.network.translate(machine, value)
            encoded = base64.b64encode(value).decode()
            items.append({'key': key, 'value': encoded, 'offset': offset})
        more = len(newest_items) > _PAGE_SIZE
        return _reply(200, {'items': items, 'more': more, 'end': end})

    async def _serve_read(
        self, request: server_module.Request, topic: str
    ) -> server_module.Reply:
        partition = self._topic(topic)
        start = int(request.query['from'])
        wait_ms = int(request.query.get('wait_ms', 0))
        if start < partition.first:
            return _reply(410, {'first': partition.first})
        if start >= partition.end and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await partition.appended.wait()
            except TimeoutError:
                pass
        if start < partition.first:
            return _reply(410, {'first': partition.first})
        body = bytearray(struct.pack('>QQ', partition.end, partition.first))
        max_bytes = int(request.query.get('max_kb', _DEFAULT_MAX_KB)) * 1_024
        for key, value in partition.records[max(0, start - partition.first) :]:
            content = bytes([len(key)]) + key.encode() + value
            record = struct.pack('>I', len(content)) + content
            size_bytes = len(body) + len(record)
            if len(body) > _HEADER_BYTES and size_bytes > max_bytes:
                break
            body += record
        return server_module.Reply(200, bytes(body))


def _decode_records(body: bytes) -> list[tuple[str, bytes]]:
    records = []
    while body:
        (length,) = struct.unpack_from('>I', body)
        content, body = body[4 : 4 + length], body[4 + length :]
        size = content[0]
        records.append((content[1 : 1 + size].decode(), content[1 + size :]))
    return records


def _reply(status: int, value: dict[str, object]) -> server_module.Reply:
    return server_module.Reply(status, json.dumps(value).encode())
