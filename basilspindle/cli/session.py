"""Hold the global options of one run."""

import pathlib
import typing

import click

if typing.TYPE_CHECKING:
    import httpx

    from basilspindle.cli import client as client_module


class Session:
    """Give commands a client and print what they found."""

    __slots__ = ('as_json', '_urls', '_key', '_key_file', '_timeout', '_wire')

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
        self._timeout = timeout_ms
        self._wire = transport

    def open(self, *, with_key: bool = True) -> 'client_module.Client':
        """Return a client; raises ``click.UsageError`` without a key."""
        from basilspindle.cli import client

        key = self._read_key() if with_key else ''
        if with_key and not key:
            raise click.UsageError(
                'no key; use --key-file or BASILSPINDLE_KEY'
            )
        return client.Client(self._urls, key, self._timeout, self._wire)

    def show(self, value: typing.Any, text: str | None = None) -> None:
        """Print a value as JSON, or its text for people."""
        if text is not None and not self.as_json:
            click.echo(text)
            return
        import msgspec

        raw = msgspec.json.encode(value)
        click.echo(raw if self.as_json else msgspec.json.format(raw))

    def _read_key(self) -> str:
        key = self._key if self._key_file is None else self._read_file()
        if not key.isascii() or any(char.isspace() for char in key.strip()):
            raise click.UsageError('the key is not one word of ASCII')
        return key.strip()

    def _read_file(self) -> str:
        try:
            return pathlib.Path(self._key_file).read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise click.UsageError(
                f'cannot read the key file {self._key_file}: {error}'
            ) from error
