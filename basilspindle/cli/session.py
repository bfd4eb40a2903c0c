"""Hold the global options of one invocation."""

import pathlib
import typing

import click

if typing.TYPE_CHECKING:
    import httpx

    from basilspindle.cli import client as client_module


class Session:
    """Create the client of a command and print its result."""

    __slots__ = (
        'as_json',
        '_urls',
        '_key',
        '_key_file',
        '_timeout_ms',
        '_transport',
    )

    def __init__(
        self,
        *,
        urls: tuple[str, ...],
        key: str,
        key_file: str | None,
        as_json: bool,
        timeout_ms: int,
        transport: 'httpx.BaseTransport | None' = None,
    ) -> None:
        self.as_json = as_json
        self._urls = urls
        self._key = key
        self._key_file = key_file
        self._timeout_ms = timeout_ms
        self._transport = transport

    def open(self, *, with_key: bool = True) -> 'client_module.Client':
        """Return a client; raises ``click.UsageError`` if a key is missing."""
        from basilspindle.cli import client

        key = self._read_key() if with_key else ''
        if with_key and not key:
            raise click.UsageError(
                'no API key is given; use --key-file or BASILSPINDLE_KEY'
            )
        return client.Client(
            self._urls, key, self._timeout_ms, self._transport
        )

    def show(self, value: typing.Any, text: str | None = None) -> None:
        """Print a result as text if it has one, otherwise as JSON.

        ``--json`` selects JSON in any case.
        """
        if text is not None and not self.as_json:
            click.echo(text)
            return
        import msgspec

        raw = msgspec.json.encode(value)
        click.echo(raw if self.as_json else msgspec.json.format(raw))

    def _read_key(self) -> str:
        key = self._key if self._key_file is None else self._read_file()
        if not key.isascii() or any(char.isspace() for char in key.strip()):
            raise click.UsageError(
                'the API key must be ASCII without whitespace'
            )
        return key.strip()

    def _read_file(self) -> str:
        try:
            return pathlib.Path(self._key_file).read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise click.UsageError(
                f'cannot read the key file {self._key_file}: {error}'
            ) from error
