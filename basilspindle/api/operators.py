"""Serve the HTTP routes for operators."""

import typing

import litestar
import msgspec

from basilspindle.api import member_body
from basilspindle.api import services as services_module
from basilspindle.api import worker_body
from basilspindle import errors


class ConfigurationBody(msgspec.Struct, frozen=True, kw_only=True):
    """The accepted documents and their version; 0 if none are accepted."""

    version: int
    base: msgspec.Raw
    overlay: msgspec.Raw


# Largest integer that JSON readers based on doubles represent exactly.
_MAX_VERSION = 2**53 - 1
Version = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_VERSION)]


class PublishBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Documents to publish and the version that they were edited from."""

    base: msgspec.Raw
    overlay: msgspec.Raw = msgspec.Raw(b'{}')
    from_version: Version = 0


class VersionBody(msgspec.Struct, frozen=True):
    """The version that the published documents were accepted as."""

    version: int


def _authenticate(
    services: services_module.Services, request: litestar.Request
) -> str:
    """Return the id of the operator key; raise if it is not one."""
    identity = services.admission.authenticate_operator(
        request.headers.get('authorization', '')
    )
    return identity.key_id


def routes(services: services_module.Services) -> list[object]:
    """Return the routes for operators."""

    @litestar.get('/v1/configuration')
    async def show_configuration(
        request: litestar.Request,
    ) -> ConfigurationBody:
        """Show the configuration in force at this daemon."""
        _authenticate(services, request)
        if not services.store.version:
            # Only the bootstrap operator key is valid before the first
            # configuration is published.
            empty = msgspec.Raw(b'{}')
            return ConfigurationBody(version=0, base=empty, overlay=empty)
        accepted = services.store.current
        return ConfigurationBody(
            version=accepted.version,
            base=msgspec.Raw(accepted.publication.base),
            overlay=msgspec.Raw(accepted.publication.overlay),
        )

    @litestar.post(
        '/v1/configuration',
        status_code=200,
        request_max_body_size=services.limits.max_configuration_bytes,
    )
    async def publish(request: litestar.Request) -> VersionBody:
        """Publish a base and an overlay document."""
        author = _authenticate(services, request)
        try:
            body = msgspec.json.decode(await request.body(), type=PublishBody)
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.BadRequest(
                f'the request body is not a valid publication: {error}; send '
                'base, overlay and from_version'
            ) from None
        version = await services.store.publish(
            bytes(body.base), bytes(body.overlay), body.from_version, author
        )
        return VersionBody(version)

    @litestar.get('/v1/configuration/in-force')
    async def show_versions(
        request: litestar.Request,
    ) -> member_body.MembersBody:
        """Show the configuration version in force at each daemon."""
        _authenticate(services, request)
        return member_body.MembersBody(services.list_members())

    @litestar.get('/v1/workers')
    async def list_workers(
        request: litestar.Request,
    ) -> worker_body.WorkersBody:
        """List the workers of the cell."""
        _authenticate(services, request)
        return worker_body.WorkersBody(services.list_workers())

    @litestar.get('/v1/state')
    async def dump_state(request: litestar.Request) -> dict[str, typing.Any]:
        """Return the internal state of this daemon."""
        _authenticate(services, request)
        return services.dump_state()

    return [
        show_configuration,
        publish,
        show_versions,
        list_workers,
        dump_state,
    ]
