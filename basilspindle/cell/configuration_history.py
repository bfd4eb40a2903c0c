"""Keep the configuration in force and the changes that led to it."""

import collections
import zlib

import msgspec

from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import configuration_change
from basilspindle import decoding
from basilspindle import errors

_MAX_CHANGES = 64
# Changes are kept up to this number of items even if the configuration has
# fewer.
_MIN_ITEMS_KEPT = 256
# Slow daemons may still be reading earlier payloads.
_MAX_PAYLOADS = 8
# Fastest; a higher level saves a tenth of the bytes.
_COMPRESSION_LEVEL = 1
_MAX_DECODED_BYTES = 64 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
_BLOBS_DECODER = msgspec.msgpack.Decoder(tuple[bytes, ...])
_CHANGE_DECODER = msgspec.msgpack.Decoder(
    configuration_change.ConfigurationChange
)


class ConfigurationHistory:
    """The configuration in force and its last changes.

    A payload holds the changes that lead from one version to another, or the
    whole configuration if the first of these is too old. Payloads are the
    same bytes whenever they are requested, so a transfer may be resumed.
    """

    __slots__ = ('current', '_changes', '_blobs', '_payloads')

    def __init__(self) -> None:
        self.current: configuration_module.Configuration | None = None
        # Consecutive changes, the last of which leads to the current version.
        self._changes: collections.deque[
            configuration_change.ConfigurationChange
        ] = collections.deque()
        # Encoded changes by the version that they start from.
        self._blobs: dict[int, bytes] = {}
        # Encoded payloads by the versions that they lead from and to.
        self._payloads: dict[tuple[int, int], bytes] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self.current.version if self.current is not None else 0

    def replace(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Bring a later version into force that was read as a whole."""
        change = configuration_change.compare(self.current, configuration)
        self._advance(change, configuration)

    def apply(self, payload: bytes) -> int:
        """Bring the version into force that a payload leads to.

        Returns the number of items that it changes. Raises
        ``ConfigurationDiverged`` if it cannot be decoded or does not fit.
        """
        changes = _decode(payload)
        configuration = self.current
        steps = []
        for change in changes:
            configuration = configuration_change.apply(configuration, change)
            steps.append((change, configuration))
        for change, configuration in steps:
            self._advance(change, configuration)
        return sum(change.item_count for change in changes)

    def payload(
        self, version: int, base_version: int = 0, target: int = 0
    ) -> tuple[int, int, bytes]:
        """Return the payload that leads from a version to the current one.

        ``base_version`` and ``target`` name a payload that was returned
        before, which is returned again while it is kept. Returns the versions
        that the payload leads from and to; the first is 0 if it holds the
        whole configuration.
        """
        data = self._payloads.get((base_version, target))
        if data is not None:
            return base_version, target, data
        bases = [change.base_version for change in self._changes]
        first = bases.index(version) if version in bases else len(bases)
        changes = list(self._changes)[first:]
        base_version = version if changes else 0
        key = (base_version, self.version)
        if key not in self._payloads:
            self._payloads[key] = self._encode_payload(changes)
            while len(self._payloads) > _MAX_PAYLOADS:
                del self._payloads[next(iter(self._payloads))]
        return base_version, self.version, self._payloads[key]

    def _encode_payload(
        self, changes: list[configuration_change.ConfigurationChange]
    ) -> bytes:
        blobs = [self._blob(change) for change in changes]
        if not changes:
            whole = configuration_change.compare(None, self._whole)
            blobs = [_encode(whole)]
        return _ENCODER.encode(blobs)

    @property
    def _whole(self) -> configuration_module.Configuration:
        assert self.current is not None
        return self.current

    def _blob(self, change: configuration_change.ConfigurationChange) -> bytes:
        blob = self._blobs.get(change.base_version)
        if blob is None:
            blob = self._blobs[change.base_version] = _encode(change)
        return blob

    def _advance(
        self,
        change: configuration_change.ConfigurationChange,
        configuration: configuration_module.Configuration,
    ) -> None:
        self.current = configuration
        if not change.base_version:
            self._changes.clear()
            self._blobs.clear()
            return
        self._changes.append(change)
        self._trim()

    def _trim(self) -> None:
        # More items than the whole configuration has would take more bytes.
        whole = self._whole
        most_items = max(
            _MIN_ITEMS_KEPT,
            len(whole.queues) + len(whole.workspaces) + len(whole.pools),
        )
        item_count = sum(change.item_count for change in self._changes)
        while len(self._changes) > _MAX_CHANGES or (
            item_count > most_items and len(self._changes) > 1
        ):
            oldest = self._changes.popleft()
            item_count -= oldest.item_count
            self._blobs.pop(oldest.base_version, None)


def _encode(change: configuration_change.ConfigurationChange) -> bytes:
    return zlib.compress(_ENCODER.encode(change), _COMPRESSION_LEVEL)


def _decode(
    payload: bytes,
) -> list[configuration_change.ConfigurationChange]:
    try:
        return [
            _CHANGE_DECODER.decode(
                zlib.decompressobj().decompress(blob, _MAX_DECODED_BYTES)
            )
            for blob in _BLOBS_DECODER.decode(payload)
        ]
    except (*decoding.FAULTS, zlib.error) as error:
        raise errors.ConfigurationDiverged(
            f'a change of the configuration cannot be decoded: {error}; read '
            'the whole configuration'
        ) from error
