"""Render the catalogue of all events as the page docs/events.md."""

import importlib
import importlib.util
import pkgutil

import basilspindle
from basilspindle.events import event as event_module

_HEAD = """# Events

Every log line is one JSON object with `time`, `level`, `event` (the number),
`name`, `text` and the fields of the event. Fields carry their unit as a
suffix. This page is made by `make events`; a test compares it with the code.

| number | name | level | meaning | what to do |
| --- | --- | --- | --- | --- |
"""


def load() -> list[event_module.Event]:
    """Import every ``events`` module and return all events by number."""
    packages = pkgutil.iter_modules(basilspindle.__path__)
    for package in packages:
        name = f'basilspindle.{package.name}.events'
        if package.ispkg and package.name != 'events' and _exists(name):
            importlib.import_module(name)
    found = event_module.Event.catalogue
    return [found[number] for number in sorted(found)]


def _exists(name: str) -> bool:
    return importlib.util.find_spec(name) is not None


def render() -> str:
    """Return the page."""
    rows = [
        f'| {event.number} | `{event.name}` | {event.level.value.lower()} '
        f'| {_sentence(event.text)} | {_sentence(event.remedy)} |\n'
        for event in load()
    ]
    return _HEAD + ''.join(rows)


def _sentence(text: str) -> str:
    return text.rstrip('.').replace('|', '\\|')


if __name__ == '__main__':
    print(render(), end='')
