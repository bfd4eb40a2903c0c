"""Read and publish the configuration through the API."""

import collections.abc
import typing

import msgspec

from basilspindle.cli import client as client_module
from basilspindle import config
from basilspindle import errors

PATH = '/v1/configuration'
_MAX_ATTEMPTS = 5


class PublishedConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force; version 0 and no documents if none."""

    version: int
    base: dict[str, typing.Any] | None = None
    overlay: dict[str, typing.Any] | None = None

    def draft(self) -> config.Draft:
        """Return an editable copy of the documents."""
        return config.Draft(
            msgspec.json.encode(self.base or {}),
            msgspec.json.encode(self.overlay or {}),
        )


def read(client: client_module.Client) -> PublishedConfiguration:
    """Return the configuration in force at a daemon."""
    response = client.call('GET', PATH, retryable=True)
    return msgspec.convert(response, PublishedConfiguration)


def publish(
    client: client_module.Client,
    base: bytes,
    overlay: bytes,
    from_version: int,
) -> int:
    """Publish two documents and return their version.

    Publishing the same documents from the same version again has no further
    effect, so the request is retryable.
    """
    response = client.call(
        'POST',
        PATH,
        retryable=True,
        body={
            'base': msgspec.Raw(base),
            'overlay': msgspec.Raw(overlay),
            'from_version': from_version,
        },
    )
    return response['version']


def change(
    client: client_module.Client,
    apply: collections.abc.Callable[[config.Draft], bool],
) -> int:
    """Edit the configuration in force and publish the result.

    ``apply`` edits the draft and returns whether it changed anything. After
    a version conflict it is called again with the newer configuration.
    Returns the version that contains the change.
    """
    for attempt in range(_MAX_ATTEMPTS):
        current = read(client)
        draft = current.draft()
        if not apply(draft):
            return current.version
        try:
            return publish(client, draft.base, draft.overlay, current.version)
        except errors.VersionConflict:
            if attempt == _MAX_ATTEMPTS - 1:
                raise
    raise AssertionError('unreachable')
