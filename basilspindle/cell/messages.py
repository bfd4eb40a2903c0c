"""Define the messages between the daemons of a cell."""

import msgspec

from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration as configuration_module
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job_state


class _Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of all messages; the class name is the tag."""


class Submit(_Message):
    """Ask the leader to accept a job within ``accept_timeout_ms``.

    Only a leader under the claim with ``epoch`` may accept it; 0 if the
    sender does not tell, as in builds that know no epoch here.
    """

    definition: definition_module.JobDefinition
    accept_timeout_ms: int
    epoch: int = 0


class Find(_Message):
    """Ask the leader for the state of a job."""

    job_id: str
    workspace: str


class Cancel(_Message):
    """Ask the leader to cancel a job."""

    job_id: str
    workspace: str


class CountWaiting(_Message):
    """Ask the leader how many jobs of a queue have not begun."""

    queue: str


class DryRun(_Message):
    """Ask the leader what it would decide about a job; changes nothing.

    Sent only to a leader whose ``Pong`` tells that it answers dry runs: other
    builds close the connection on an unknown message, and the requests of
    callers on it would have an unknown outcome.
    """

    definition: definition_module.JobDefinition


class Ping(_Message):
    """Ask a daemon whether it is alive and leads; ``node`` is the sender.

    ``link_number`` counts the connections to leaders that the process with
    this ``incarnation`` has made. A daemon closes those with lower numbers
    before it answers. Builds that send neither are not known by them.
    ``keeps_starts`` tells whether the sender knows ``KeepStarts``.
    """

    node: str
    incarnation: str = ''
    link_number: int = 0
    keeps_starts: bool = False


class Advise(_Message):
    """Ask a follower to call the advice service."""

    step_key: str
    worker_ids: tuple[str, ...]
    timeout_ms: int


class KeepStarts(_Message):
    """Ask a follower to keep starts of the leader of an epoch.

    ``starts`` are all that the log may not hold yet, each with the id of the
    worker, the name of the task and the run. A copy with a higher ``number``
    replaces this one. Sent only to daemons whose ``Ping`` tells that they
    know it.
    """

    epoch: int
    number: int
    starts: tuple[tuple[str, str, int], ...]


class Announce(_Message):
    """Announce the newest leadership claim to a daemon."""

    claim: claim_module.Claim


class WhoLeads(_Message):
    """Ask a daemon for the newest leadership claim that it knows."""


class GetTerms(_Message):
    """Ask a daemon for the configuration that it uses."""


class FollowConfiguration(_Message):
    """Ask the leader for what changed since ``version``.

    The leader waits up to ``wait_ms`` for a newer version. The other fields
    continue a transfer that has begun, from ``base_version`` to ``target``,
    with the part ``number``; ``target`` is 0 to begin one. Sent only to a
    leader whose ``Pong`` names the same format.
    """

    version: int
    base_version: int
    target: int
    number: int
    wait_ms: int


class LeaderIs(_Message):
    """The newest leadership claim that a daemon knows, if any."""

    claim: claim_module.Claim | None


class TermsAre(_Message):
    """The configuration that a daemon uses, if any."""

    configuration: configuration_module.Configuration | None


class ConfigurationPart(_Message):
    """A part of the payload that leads from ``base_version`` to ``version``.

    ``base_version`` is 0 if the payload holds the whole configuration.
    ``part_count`` is 0 if nothing is newer. ``age_ms`` is the time since the
    leader knew its version to be the newest in the store. ``next_offset`` is
    where to read on in the store once the payload is applied, -1 if that is
    not known.
    """

    base_version: int
    version: int
    number: int
    part_count: int
    data: bytes
    age_ms: int
    next_offset: int


class Accepted(_Message):
    """The request was accepted, and what it changed is recorded."""


class Found(_Message):
    """The state of a job that exists."""

    state: job_state.JobState


class Gone(_Message):
    """No such job exists."""


class Counted(_Message):
    """A number of jobs."""

    count: int


class Refused(_Message):
    """The request had no effect; retry after ``retry_after_ms``.

    ``epoch`` is that of the leader that refused a submission. Copies that the
    same process sent to leaders of epochs up to it are not accepted either.
    With 0, nothing is said of other copies.
    """

    kind: str
    text: str
    retry_after_ms: int
    epoch: int = 0


class NotLeading(_Message):
    """The daemon does not lead; the request may still have had an effect."""


class Pong(_Message):
    """Answer to a ping.

    ``store_age_ms`` is how long the current append of a leader has been
    unanswered, 0 if there is none. ``version`` is that of the configuration
    that the daemon uses, and ``configuration_age_ms`` the time since it knew
    that version to be the newest. A daemon that does not lead answers 0 for
    these and for ``epoch``. ``configuration_format`` is the format of its
    configuration payloads, 0 for builds that send none. ``answers_dry_runs``
    tells whether the daemon knows ``DryRun``.
    """

    incarnation: str
    leads: bool
    epoch: int
    store_age_ms: int
    version: int
    configuration_age_ms: int = 0
    configuration_format: int = 0
    answers_dry_runs: bool = False


class DryRunAnswer(_Message):
    """What the leader would decide about a job, as JSON.

    Daemons pass it on as it is, so that its fields may differ by build.
    """

    data: bytes


class Advised(_Message):
    """Tickets by id of the workers that may run a step."""

    tickets: dict[str, str]
    valid_ms: int


Request = (
    Submit
    | Find
    | Cancel
    | CountWaiting
    | DryRun
    | Ping
    | Advise
    | KeepStarts
    | Announce
    | WhoLeads
    | GetTerms
    | FollowConfiguration
)
Reply = (
    Accepted
    | Found
    | Gone
    | Counted
    | Refused
    | NotLeading
    | Pong
    | Advised
    | LeaderIs
    | TermsAre
    | ConfigurationPart
    | DryRunAnswer
)


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """One message on a link; a reply carries the number of its request."""

    number: int
    message: Request | Reply
