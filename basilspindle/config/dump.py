"""Show a configuration to operators, without hashes of keys."""

import typing

import msgspec

from basilspindle.config import document as document_module
from basilspindle.config import history


def dump_head(head: history.Head | None) -> dict[str, typing.Any]:
    """Return what is known of a publish, without its documents."""
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
    """Return a merged document."""
    if document is None:
        return {}
    shown = msgspec.to_builtins(document)
    for key in shown['keys'].values():
        del key['sha256']
    return shown
