"""Check the operator key that is valid before any configuration."""

import hmac

from basilspindle.config import identity as identity_module
from basilspindle.config import keyring
from basilspindle import errors

_DEFAULT_ID = 'bootstrap'


class Bootstrap:
    """Compare keys with the hash in the settings; '' allows none."""

    __slots__ = ('_sha256',)

    def __init__(self, sha256: str) -> None:
        self._sha256 = sha256

    def check(self, text: str) -> identity_module.Identity:
        """Return the operator of a key; raises ``KeyInvalid``."""
        same = hmac.compare_digest(keyring.digest_key(text), self._sha256)
        if not same:
            raise errors.KeyInvalid(
                'no configuration exists and this is not the bootstrap key; '
                'use the key whose hash is bootstrap_operator_sha256 in the '
                'settings'
            )
        return identity_module.Identity(
            key_id=keyring.parse_key_id(text) or _DEFAULT_ID,
            role='operator',
        )
