"""What an experiment file may hold."""

import msgspec

from swiftjunction import settings


class Traffic(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Load of live callers, open loop.

    Attributes
    ----------
    answers_per_second, lookups_per_second : float
        Mean rates of completions and of calls of the plain service.
    stream_share : float
        Of the completions, how many are streamed.
    action_share : float
        Of the lookups, how many may run only once.
    keyed_share : float
        Of those, how many carry an idempotency key, and are sent again by
        their caller where the outcome is unknown.
    tokens_max : int
        Longest answer; its length is heavy-tailed below.
    payload_bytes_median : float
        Of the lookups' bodies, whose sizes are log-normal.
    """

    answers_per_second: float = 12.0
    lookups_per_second: float = 12.0
    stream_share: float = 0.4
    action_share: float = 0.3
    keyed_share: float = 0.7
    tokens_max: int = 64
    payload_bytes_median: float = 400.0


class Training(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What trainers draw: one step after the other."""

    trainers: int = 2
    groups: int = 8
    samples_per_group: int = 4
    tokens_max: int = 96


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One fault at one time.

    Attributes
    ----------
    target : str
        A stand-in, a process (``entry-3/rollout``) or a whole VM
        (``entry-3``).
    kind : str
        A fault of the stand-in, or ``kill``, ``pause``, ``terminate`` of a
        process; ``race`` edits the settings from several operators at once,
        ``poison`` sends a request that crashes engines.
    value : float
        The fault's number; for processes, how many seconds they are away.
    for_seconds : float
        After which a fault of a stand-in is switched off; 0 for never.
    """

    at_seconds: float
    target: str
    kind: str
    value: float = 1.0
    for_seconds: float = 0.0


class Experiment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One run of a whole deployment."""

    name: str
    deployment: str = 'tallamedida'
    vms: int = 8
    seconds: float = 20.0
    publish_every_seconds: float = 8.0
    configure_every_seconds: float = 4.0
    freshness_versions: int = 1
    address_lifetime_seconds: float = 3.0
    traffic: Traffic = Traffic()
    training: Training = Training()
    faults: tuple[Fault, ...] = ()


def read_experiment(path: str) -> Experiment:
    """Read and check an experiment file."""
    return settings.read_struct(path, Experiment)
