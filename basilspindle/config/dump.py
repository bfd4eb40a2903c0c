"""Dump a configuration for operators, without the hashes of keys."""

import typing

import msgspec

from basilspindle.config import document as document_module
from basilspindle.config import history


def dump_head(head: history.Head | None) -> dict[str, typing.Any]:
    """Return the metadata of the latest accepted publish."""
    if head is None:
        return {}
    publication = head.publication
    return {
        'offset': head.offset,
        'from_version': publication.from_version,
        'from_offset': publication.from_offset,
        'author': publication.author,
        'wall_ms': publication.wall_ms,
        'base_bytes': len(publication.base),
        'overlay_bytes': len(publication.overlay),
    }


def dump_document(
    document: document_module.Document | None,
) -> dict[str, typing.Any]:
    """Return a merged document without the hashes of its keys."""
    if document is None:
        return {}
    dumped = msgspec.to_builtins(document)
    for key in dumped['keys'].values():
        del key['sha256']
    return dumped
