"""Define the faults that the stand-in log service can inject."""

import msgspec


class LogFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults; a count is the number of requests it still affects.

    For all requests, ``down`` answers 503, ``refuse`` refuses connections,
    ``hang`` neither applies nor answers a request, ``hang_requests`` does
    so for some requests, and ``delay_ms`` delays a request before it takes
    effect. ``silence`` stops all answers on the connections used so far.

    The other counts concern appends: ``lose_requests`` are not applied and
    their connection closes; ``lose_answers`` are applied, but their
    connection closes without an answer; ``late_effects`` are never answered
    and are applied ``late_effect_ms`` after their arrival.
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
