"""Define the messages between the daemons of a cell."""

import msgspec

from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration as configuration_module
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job_state


class _Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of all messages; the class name is the tag."""


class Submit(_Message):
    """Ask for a job to be accepted within ``patience_ms``."""

    definition: definition_module.JobDefinition
    accept_timeout_ms: int


class Find(_Message):
    """Ask for the state of a job."""

    job_id: str
    workspace: str


class Cancel(_Message):
    """Ask for a job to be cancelled."""

    job_id: str
    workspace: str


class CountWaiting(_Message):
    """Ask for the number of jobs of a queue that have not begun."""

    queue: str


class Ping(_Message):
    """Ask whether the daemon leads."""

    node: str


class Advise(_Message):
    """Ask a follower to call the advice service."""

    step_key: str
    worker_ids: tuple[str, ...]
    timeout_ms: int


class Announce(_Message):
    """Tell a daemon which claim to lead is the newest."""

    claim: claim_module.Claim


class WhoLeads(_Message):
    """Ask a daemon which claim to lead is the newest it knows."""


class GetTerms(_Message):
    """Ask for the configuration in force at a daemon."""


class LeaderIs(_Message):
    """The newest claim that a daemon knows, if any."""

    claim: claim_module.Claim | None


class TermsAre(_Message):
    """The configuration in force at a daemon, if any."""

    terms: configuration_module.Configuration | None


class Accepted(_Message):
    """A job is accepted and recorded."""


class Found(_Message):
    """The state of a job that exists."""

    state: job_state.JobState


class Gone(_Message):
    """No such job exists."""


class Counted(_Message):
    """A number of jobs."""

    count: int


class Refused(_Message):
    """Nothing was done; ``retry_after_ms`` says when to come back."""

    kind: str
    text: str
    retry_after_ms: int


class NotLeading(_Message):
    """The daemon does not lead; the request may have taken effect."""


class Pong(_Message):
    """A process lives.

    ``store_age_ms`` is how long its current append has been unanswered, 0
    for none; ``version`` is its version of the configuration.
    """

    incarnation: str
    leads: bool
    epoch: int
    store_age_ms: int
    version: int


class Advised(_Message):
    """Workers that may run a step, with their tickets."""

    tickets: dict[str, str]
    valid_ms: int


Request = (
    Submit
    | Find
    | Cancel
    | CountWaiting
    | Ping
    | Advise
    | Announce
    | WhoLeads
    | GetTerms
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
)


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """One message on a link; replies carry the number of their request."""

    number: int
    message: Request | Reply
