"""Describe the faults of the stand-in log service."""

import msgspec


class LogFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults in force; a count falls by one with each request it hits.

    ``down`` answers 503; ``refuse`` refuses connections; ``hang`` never
    answers and has no effect, ``hang_requests`` does so for some requests;
    ``silence`` makes all connections open at that moment silent for good;
    ``delay_ms`` delays every answer. Of appends, ``lose_requests`` have no
    effect and their connection closes, ``lose_answers`` take effect and
    their connection closes without an answer, and ``late_effects`` are
    never answered and take effect ``late_effect_ms`` after their arrival.
    """

    down: bool = False
    refuse: bool = False
    hang: bool = False
    hang_requests: int = 0
    silence: bool = False
    delay_ms: int = 0
    lose_requests: int = 0
    lose_answers: int = 0
    late_effects: int = 0
    late_effect_ms: int = 5_000
