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

_MAX_FILE_BYTES = 1024 * 1024
_JsonObject = dict[str, typing.Any]
_Faults = collections.abc.Iterator[tuple[tuple[str | int, ...], str, str]]


def load(path: str | os.PathLike[str]) -> settings_module.Settings:
    """Read the settings file; raises ``SettingsInvalid``.

    Also checks that the TLS files are readable.
    """
    try:
        with pathlib.Path(path).open('rb') as file:
            raw = file.read(_MAX_FILE_BYTES)
    except OSError as error:
        raise errors.SettingsInvalid(
            f'cannot read the settings file {path}: {error.strerror}; '
            'name a readable file'
        ) from error
    return parse(raw, file_name=str(path), check_files=True)


def parse(
    raw: bytes, *, file_name: str = 'settings', check_files: bool = False
) -> settings_module.Settings:
    """Return the settings in a JSON text; raises ``SettingsInvalid``.

    The error lists every fault that was found.
    """
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
    value: _JsonObject, file_name: str, check_files: bool
) -> list[document.Fault]:
    faults = [*_check_addresses(value), *_check_peers(value)]
    faults += _check_urls(value)
    if check_files:
        faults += _check_files(value)
    return [
        document.Fault(
            file=file_name,
            pointer=document.join_pointer(steps),
            fault=fault,
            remedy=remedy,
        )
        for steps, fault, remedy in faults
    ]


def _check_addresses(value: _JsonObject) -> _Faults:
    for name in ('api_address', 'peer_address'):
        advertised_name = f'advertised_{name}'
        listen_address = value.get(name)
        if isinstance(listen_address, str):
            # Without an advertised address, others connect to this one.
            reachable = not value.get(advertised_name)
            yield from _check_address((name,), listen_address, reachable)
        advertised = value.get(advertised_name)
        if isinstance(advertised, str) and advertised:
            yield from _check_address((advertised_name,), advertised, True)
    if _are_equal(value, 'api_address', 'peer_address'):
        yield (
            ('peer_address',),
            'it is the same as api_address',
            'give api_address and peer_address a port each',
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


def _check_peers(value: _JsonObject) -> _Faults:
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
                'write the peer_address of another daemon as ip:port',
            )
        elif peer in peers[:index]:
            yield (
                ('peers', index),
                f'{peer} is listed twice',
                'remove one of them',
            )


def _check_urls(value: _JsonObject) -> _Faults:
    for name in ('log_url', 'vm_list_url'):
        text = value.get(name)
        fault = address.check_url(text) if isinstance(text, str) else ''
        if fault:
            yield (
                (name,),
                fault,
                'write it as http://host:port or https://host:port',
            )


def _check_files(value: _JsonObject) -> _Faults:
    tls = value.get('tls')
    for part, names in tls.items() if isinstance(tls, dict) else ():
        for name, path in names.items() if isinstance(names, dict) else ():
            if isinstance(path, str) and not os.access(path, os.R_OK):
                yield (
                    ('tls', part, name),
                    f'cannot read the file {path}',
                    'name a readable PEM file',
                )


def _are_equal(value: _JsonObject, one: str, two: str) -> bool:
    return isinstance(value.get(one), str) and value[one] == value.get(two)
