"""Validate a base and an overlay, and decode what they merge to."""

import typing

import msgspec

from basilspindle.config import document as document_module
from basilspindle.config import overlay as overlay_module
from basilspindle.config import rules
from basilspindle.config import source as source_module
from basilspindle import decoding
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

    ``current`` is the configuration to be replaced; immutable members
    must have the same values. Raises ``ConfigurationInvalid``, which lists
    every fault.
    """
    base_value, faults = document.parse(base, base_name)
    overlay_value, overlay_faults = document.parse(overlay, overlay_name)
    faults += overlay_faults
    if any(not fault.pointer for fault in faults):
        raise _make_invalid(faults)
    faults += overlay_module.check_permissions(
        base_value, overlay_value, overlay_name
    )
    merged = overlay_module.merge(base_value, overlay_value)
    source = source_module.Source(
        base_value, overlay_value, base_name, overlay_name
    )
    faults += document.check(merged, document_module.Document, source.file)
    faults += _check_rules(merged, source, current)
    if faults:
        raise _make_invalid(faults)
    return msgspec.convert(merged, document_module.Document)


def read_accepted(base: bytes, overlay: bytes) -> document_module.Document:
    """Return the merged configuration of an accepted publication.

    Ignores unknown members, which a newer daemon may have validated.
    Raises ``ConfigurationInvalid``.
    """
    try:
        merged = overlay_module.merge(
            msgspec.json.decode(base), msgspec.json.decode(overlay)
        )
        return msgspec.convert(merged, document_module.Document)
    except decoding.FAULTS as error:
        raise errors.ConfigurationInvalid(
            f'this daemon cannot read the accepted configuration: {error}; '
            'update the daemon or publish a corrected configuration'
        ) from error


def _check_rules(
    merged: dict[str, typing.Any],
    source: source_module.Source,
    current: document_module.Document | None,
) -> list[document.Fault]:
    violations = rules.check(merged)
    if current is not None:
        violations += rules.check_immutable(merged, current)
    return [
        document.Fault(
            file=source.file(violation.steps),
            pointer=document.join_pointer(violation.steps),
            fault=violation.fault,
            remedy=violation.remedy,
        )
        for violation in violations
    ]


def _make_invalid(faults: list[document.Fault]) -> errors.ConfigurationInvalid:
    return errors.ConfigurationInvalid(
        document.format_faults(faults), faults=tuple(faults)
    )
