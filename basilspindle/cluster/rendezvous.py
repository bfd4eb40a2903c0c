"""Choose a member for a key by rendezvous hashing."""

import collections.abc
import hashlib

_DIGEST_BYTES = 8


def _weight(key: str, member_id: str) -> bytes:
    text = f'{key}\0{member_id}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()


def rendezvous(key: str, ids: collections.abc.Iterable[str]) -> str:
    """Return the id with the highest weight for a key, '' without ids.

    Every process makes the same choice. When an id joins or leaves, only
    the keys that it gains or gives up move.
    """
    return max(
        ids,
        key=lambda member_id: (_weight(key, member_id), member_id),
        default='',
    )
