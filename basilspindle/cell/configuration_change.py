"""Describe and apply the difference between two configurations."""

import collections.abc
import typing

import msgspec

from basilspindle.cell import configuration as configuration_module
from basilspindle import errors


class _Named(typing.Protocol):
    @property
    def name(self) -> str: ...


_Item = typing.TypeVar('_Item', bound=_Named)


class Section(msgspec.Struct, typing.Generic[_Item], array_like=True):
    """What a version adds, changes and removes in one list of items.

    ``total`` is the number of items afterwards.
    """

    changed: tuple[_Item, ...]
    removed: tuple[str, ...]
    total: int


class ConfigurationChange(msgspec.Struct, array_like=True):
    """What leads from one version of the configuration to a later one.

    ``base_version`` is 0 if the change holds the whole configuration.
    """

    base_version: int
    version: int
    queues: Section[configuration_module.QueueConfig]
    workspaces: Section[configuration_module.WorkspaceConfig]
    pools: Section[configuration_module.PoolConfig]
    limits: configuration_module.RequestLimits

    @property
    def item_count(self) -> int:
        """Return the number of items that are added, changed or removed."""
        return sum(
            len(section.changed) + len(section.removed)
            for section in (self.queues, self.workspaces, self.pools)
        )


def compare(
    base: configuration_module.Configuration | None,
    configuration: configuration_module.Configuration,
) -> ConfigurationChange:
    """Return the change that leads from one configuration to another."""
    return ConfigurationChange(
        base.version if base else 0,
        configuration.version,
        _compare_items(base.queues if base else (), configuration.queues),
        _compare_items(
            base.workspaces if base else (), configuration.workspaces
        ),
        _compare_items(base.pools if base else (), configuration.pools),
        configuration.limits,
    )


def apply(
    base: configuration_module.Configuration | None,
    change: ConfigurationChange,
) -> configuration_module.Configuration:
    """Return the configuration that a change leads to.

    Raises ``ConfigurationDiverged`` if the change does not fit the base.
    """
    if not change.base_version:
        base = None
    elif base is None or base.version != change.base_version:
        raise errors.ConfigurationDiverged(
            f'a change leads from version {change.base_version}, but version '
            f'{base.version if base else 0} is in force; read the whole '
            'configuration'
        )
    return configuration_module.Configuration(
        change.version,
        _apply_section(base.queues if base else (), change.queues),
        _apply_section(base.workspaces if base else (), change.workspaces),
        _apply_section(base.pools if base else (), change.pools),
        change.limits,
    )


def _compare_items(
    base: collections.abc.Sequence[_Item],
    items: collections.abc.Sequence[_Item],
) -> Section[_Item]:
    known = {item.name: item for item in base}
    current = {item.name: item for item in items}
    return Section(
        tuple(
            item for name, item in current.items() if known.get(name) != item
        ),
        tuple(name for name in known if name not in current),
        len(current),
    )


def _apply_section(
    base: collections.abc.Sequence[_Item], section: Section[_Item]
) -> tuple[_Item, ...]:
    items = {item.name: item for item in base}
    for name in section.removed:
        items.pop(name, None)
    items.update((item.name, item) for item in section.changed)
    if len(items) != section.total:
        raise errors.ConfigurationDiverged(
            f'a change leads to {len(items)} items instead of '
            f'{section.total}; read the whole configuration'
        )
    return tuple(items.values())
