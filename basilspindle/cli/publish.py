"""Read and publish the configuration through the API."""

import collections.abc
import typing

import msgspec

from basilspindle.cli import client as client_module
from basilspindle import config
from basilspindle import errors

PATH = '/v1/configuration'
_ATTEMPTS = 5


class Published(msgspec.Struct, frozen=True):
    """The configuration in force; version 0 and no documents without any."""

    version: int
    base: dict[str, typing.Any] | None = None
    overlay: dict[str, typing.Any] | None = None

    def draft(self) -> config.Draft:
        """Return the documents for a change."""
        return config.Draft(
            msgspec.json.encode(self.base or {}),
            msgspec.json.encode(self.overlay or {}),
        )


def read(client: client_module.Client) -> Published:
    """Return the configuration in force at a daemon."""
    answer = client.call('GET', PATH, retryable=True)
    return msgspec.convert(answer, Published)


def publish(
    client: client_module.Client,
    base: bytes,
    overlay: bytes,
    from_version: int,
) -> int:
    """Publish two documents and return their version.

    A repeated publish of the same documents from the same version has no
    second effect, so that it is passed on after a lost answer.
    """
    answer = client.call(
        'POST',
        PATH,
        retryable=True,
        body={
            'base': msgspec.Raw(base),
            'overlay': msgspec.Raw(overlay),
            'from_version': from_version,
        },
    )
    return answer['version']


def change(
    client: client_module.Client,
    apply: collections.abc.Callable[[config.Draft], bool],
) -> int:
    """Apply a change to the latest configuration and publish it.

    ``apply`` tells whether it changed anything; it is applied again to
    the winner's version after a conflict. Returns the version.
    """
    for attempt in range(_ATTEMPTS):
        known = read(client)
        draft = known.draft()
        if not apply(draft):
            return known.version
        try:
            return publish(client, draft.base, draft.overlay, known.version)
        except errors.VersionConflict:
            if attempt == _ATTEMPTS - 1:
                raise
    raise AssertionError('unreachable')
