"""Summarize an accepted publish."""

import msgspec


class PublishSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Version, author (key id), wall-clock time and digest."""

    version: int
    author: str
    wall_ms: int
    digest: bytes
