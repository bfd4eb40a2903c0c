"""Check a base and an overlay, and read the merged configuration."""

import typing

import msgspec

from basilspindle.config import document as document_module
from basilspindle.config import overlay as overlay_module
from basilspindle.config import rules
from basilspindle.config import source as source_module
from basilspindle import document
from basilspindle import errors

EMPTY_OVERLAY = b'{}'


def validate(
    base: bytes,
    overlay: bytes = EMPTY_OVERLAY,
    *,
    base_name: str = 'base',
    overlay_name: str = 'overlay',
    current: document_module.Document | None = None,
) -> document_module.Document:
    """Return the merged configuration of two JSON documents.

    ``current`` is the configuration to be replaced, whose fixed members
    must stay. Raises ``ConfigurationInvalid`` with every fault.
    """
    base_value, faults = document.parse(base, base_name)
    overlay_value, more = document.parse(overlay, overlay_name)
    faults += more
    if any(not fault.pointer for fault in faults):
        raise _invalid(faults)
    faults += overlay_module.check_permit(
        base_value, overlay_value, overlay_name
    )
    merged = overlay_module.merge(base_value, overlay_value)
    source = source_module.Source(
        base_value, overlay_value, base_name, overlay_name
    )
    faults += document.check(merged, document_module.Document, source.file)
    faults += _cross_check(merged, source, current)
    if faults:
        raise _invalid(faults)
    return msgspec.convert(merged, document_module.Document)


def read_accepted(base: bytes, overlay: bytes) -> document_module.Document:
    """Return the merged configuration of an accepted publication.

    Ignores members that this version of the program does not know, since
    a newer daemon may have validated them. Raises
    ``ConfigurationInvalid``.
    """
    try:
        merged = overlay_module.merge(
            msgspec.json.decode(base), msgspec.json.decode(overlay)
        )
        return msgspec.convert(merged, document_module.Document)
    except msgspec.MsgspecError as error:
        raise errors.ConfigurationInvalid(
            f'this daemon cannot read the accepted configuration: {error}; '
            'update the daemon or publish a corrected configuration'
        ) from error


def _cross_check(
    merged: dict[str, typing.Any],
    source: source_module.Source,
    current: document_module.Document | None,
) -> list[document.Fault]:
    breaches = rules.check(merged)
    if current is not None:
        breaches += rules.check_fixed(merged, current)
    return [
        document.Fault(
            file=source.file(breach.steps),
            pointer=document.join_pointer(breach.steps),
            fault=breach.fault,
            remedy=breach.remedy,
        )
        for breach in breaches
    ]


def _invalid(faults: list[document.Fault]) -> errors.ConfigurationInvalid:
    return errors.ConfigurationInvalid(
        document.format_faults(faults), faults=tuple(faults)
    )
