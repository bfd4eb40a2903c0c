"""Describe the faults of the stand-in log service."""

import msgspec


class LogFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults in force; counts fall by one with each append they hit.

    ``down`` answers 503, ``refuse`` refuses connections, ``hang`` never
    answers and has no effect, ``delay_ms`` delays every answer.
    ``lose_answers`` appends take effect and their connection closes without
    an answer; ``late_effects`` appends are never answered and take effect
    ``late_effect_ms`` after their arrival. ``lose_requests`` appends have no
    effect and their connection closes.
    """

    down: bool = False
    refuse: bool = False
    hang: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    lose_requests: int = 0
    late_effects: int = 0
    late_effect_ms: int = 5_000
