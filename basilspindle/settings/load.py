"""Read and check a settings file."""

import collections.abc
import os
import pathlib
import typing

import msgspec

from basilspindle import document
from basilspindle import errors
from basilspindle.settings import address
from basilspindle.settings import settings as settings_module

_MAX_BYTES = 1024 * 1024
_Object = dict[str, typing.Any]
_Faults = collections.abc.Iterator[tuple[tuple[str | int, ...], str, str]]


def load(path: str | os.PathLike[str]) -> settings_module.Settings:
    """Return the settings of a file; raises ``SettingsInvalid``.

    Also checks that the TLS files can be opened.
    """
    try:
        with pathlib.Path(path).open('rb') as file:
            raw = file.read(_MAX_BYTES)
    except OSError as error:
        raise errors.SettingsInvalid(
            f'cannot read {path}: {error.strerror}; name a readable file'
        ) from error
    return parse(raw, file_name=str(path), check_files=True)


def parse(
    raw: bytes, *, file_name: str = 'settings', check_files: bool = False
) -> settings_module.Settings:
    """Return the settings of a JSON text; raises ``SettingsInvalid``."""
    value, faults = document.parse(raw, file_name)
    if not any(not fault.pointer for fault in faults):
        faults += document.check(
            value, settings_module.Settings, lambda _: file_name
        )
        faults += _check_rules(value, file_name, check_files)
    if faults:
        raise errors.SettingsInvalid(
            document.format_faults(faults), faults=tuple(faults)
        )
    return msgspec.convert(value, settings_module.Settings)


def _check_rules(
    value: _Object, file_name: str, check_files: bool
) -> list[document.Fault]:
    found = [*_check_addresses(value), *_check_peers(value)]
    found += _check_urls(value)
    if check_files:
        found += _check_files(value)
    return [
        document.Fault(
            file=file_name,
            pointer=document.join_pointer(steps),
            fault=fault,
            remedy=remedy,
        )
        for steps, fault, remedy in found
    ]


def _check_addresses(value: _Object) -> _Faults:
    for name in ('api_address', 'peer_address'):
        advertised = f'advertised_{name}'
        listens = value.get(name)
        if isinstance(listens, str):
            # Others use the address to listen on if none is advertised.
            reachable = not value.get(advertised)
            yield from _check_address((name,), listens, reachable)
        told = value.get(advertised)
        if isinstance(told, str) and told:
            yield from _check_address((advertised,), told, True)
    if _same(value, 'api_address', 'peer_address'):
        yield (
            ('peer_address',),
            'the same as api_address',
            'give callers and daemons a port each',
        )


def _check_address(
    steps: tuple[str | int, ...], text: str, reachable: bool
) -> _Faults:
    fault = address.check_address(text, reachable=reachable)
    if not fault:
        return
    remedy = 'write it as ip:port, such as 192.0.2.1:8080'
    if 'nobody' in fault:
        remedy = (
            f'set advertised_{steps[0]} to an address of this machine'
            if not str(steps[0]).startswith('advertised')
            else 'set it to an address of this machine'
        )
    yield steps, fault, remedy


def _check_peers(value: _Object) -> _Faults:
    peers = value.get('peers')
    if not isinstance(peers, list):
        return
    for index, peer in enumerate(peers):
        if not isinstance(peer, str):
            continue
        fault = address.check_address(peer, reachable=True)
        if fault:
            yield (
                ('peers', index),
                fault,
                'write the peer address of a daemon as ip:port',
            )
        elif peer in peers[:index]:
            yield ('peers', index), f'{peer} is listed twice', 'remove one'


def _check_urls(value: _Object) -> _Faults:
    for name in ('log_url', 'vm_list_url'):
        text = value.get(name)
        fault = address.check_url(text) if isinstance(text, str) else ''
        if fault:
            yield (
                (name,),
                fault,
                'write it as http://host:port or https://host:port',
            )


def _check_files(value: _Object) -> _Faults:
    tls = value.get('tls')
    for part, names in tls.items() if isinstance(tls, dict) else ():
        for name, path in names.items() if isinstance(names, dict) else ():
            if isinstance(path, str) and not os.access(path, os.R_OK):
                yield (
                    ('tls', part, name),
                    f'cannot read {path}',
                    'name a readable PEM file',
                )


def _same(value: _Object, one: str, two: str) -> bool:
    return isinstance(value.get(one), str) and value[one] == value.get(two)
