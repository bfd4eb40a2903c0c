"""Generate and check API keys."""

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
_KEY_PATTERN = re.compile(
    rf'bsk_({document.NAME_PATTERN.strip("^$")})_([0-9a-f]{{64}})'
)
# An unknown key id is compared with this hash, so that the response time
# does not reveal which ids exist.
_DUMMY_HASH = hashlib.sha256(secrets.token_bytes(_SECRET_BYTES)).hexdigest()


class Keyring:
    """Check keys against the hashes of one configuration."""

    __slots__ = ('_keys',)

    def __init__(
        self, keys: collections.abc.Mapping[str, key_module.Key]
    ) -> None:
        self._keys = keys

    def check(self, text: str) -> identity_module.Identity:
        """Return the identity of a key; raises ``KeyInvalid``."""
        match = _KEY_PATTERN.fullmatch(text)
        key_id = match.group(1) if match else ''
        key = self._keys.get(key_id)
        expected = key.sha256 if key else _DUMMY_HASH
        matches = hmac.compare_digest(digest_key(text), expected)
        if not matches or key is None:
            raise errors.KeyInvalid(
                'the key is not valid; use a key whose id is listed under '
                '/keys of the configuration and which was not withdrawn'
            )
        return identity_module.Identity(
            key_id=key_id, role=key.role, workspace=key.workspace
        )

    @staticmethod
    def generate(key_id: str) -> tuple[str, str]:
        """Return a new key and its SHA-256 in hexadecimal.

        Raises ``BadRequest`` if the key id is not a valid name.
        """
        if not re.fullmatch(document.NAME_PATTERN, key_id):
            raise errors.BadRequest(
                f'key id {key_id!r} is not allowed; use 1 to 63 lower-case '
                'letters, digits and dashes, the first of them a letter or '
                'digit'
            )
        text = f'bsk_{key_id}_{secrets.token_hex(_SECRET_BYTES)}'
        return text, digest_key(text)


def digest_key(text: str) -> str:
    """Return the SHA-256 of a key in hexadecimal."""
    return hashlib.sha256(text.encode(errors='replace')).hexdigest()


def parse_key_id(text: str) -> str:
    """Return the id in a key, '' if the text is not a key."""
    match = _KEY_PATTERN.fullmatch(text)
    return match.group(1) if match else ''
