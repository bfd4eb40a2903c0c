"""Make and check keys."""

import collections.abc
import hashlib
import hmac
import re
import secrets

from basilspindle.config import identity as identity_module
from basilspindle.config import key as key_module
from basilspindle import document
from basilspindle import errors

_SECRET_BYTES = 32
_TEXT = re.compile(
    rf'bsk_({document.NAME_PATTERN.strip("^$")})_([0-9a-f]{{64}})'
)
# Compared with when the id is unknown, so that the time taken does not
# tell which ids exist.
_NO_HASH = hashlib.sha256(secrets.token_bytes(_SECRET_BYTES)).hexdigest()


class Keyring:
    """Check keys against the hashes of one configuration."""

    __slots__ = ('_keys',)

    def __init__(
        self, keys: collections.abc.Mapping[str, key_module.Key]
    ) -> None:
        self._keys = keys

    def check(self, text: str) -> identity_module.Identity:
        """Return whom a key speaks for; raises ``KeyInvalid``."""
        match = _TEXT.fullmatch(text)
        key_id = match.group(1) if match else ''
        key = self._keys.get(key_id)
        expected = key.sha256 if key else _NO_HASH
        same = hmac.compare_digest(digest_key(text), expected)
        if not same or key is None:
            raise errors.KeyInvalid(
                'the key is not valid; use a key whose id is listed under '
                '/keys of the configuration and was not withdrawn'
            )
        return identity_module.Identity(
            key_id=key_id, role=key.role, workspace=key.workspace
        )

    @staticmethod
    def generate(key_id: str) -> tuple[str, str]:
        """Return a new key as text and its SHA-256 in hexadecimal.

        Raises ``BadRequest`` if the id is not a name.
        """
        if not re.fullmatch(document.NAME_PATTERN, key_id):
            raise errors.BadRequest(
                f'key id {key_id!r} is not allowed; use lower-case letters, '
                'digits and dashes, at most 63'
            )
        text = f'bsk_{key_id}_{secrets.token_hex(_SECRET_BYTES)}'
        return text, digest_key(text)


def digest_key(text: str) -> str:
    """Return the SHA-256 of a key in hexadecimal."""
    return hashlib.sha256(text.encode(errors='replace')).hexdigest()


def parse_key_id(text: str) -> str:
    """Return the id in the text of a key, '' if it is not one."""
    match = _TEXT.fullmatch(text)
    return match.group(1) if match else ''
