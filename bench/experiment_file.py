"""The format of experiment files."""

import msgspec

from swiftjunction import settings


class Traffic(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Open-loop load of callers.

    Attributes
    ----------
    answers_per_second, lookups_per_second : float
        Mean rates of completions and of calls of the plain service, per
        second.
    stream_share : float
        Fraction of the completions that are streamed.
    action_share : float
        Fraction of the lookups that are actions, which must not run twice.
    keyed_share : float
        Fraction of the actions that carry an idempotency key. The client
        retries these if their outcome is unknown.
    tokens_max : int
        Upper limit of a completion, in tokens. Lengths below are log-normal.
    payload_bytes_median : float
        Median size of the bodies of lookups, which is log-normal, in bytes.
    """

    answers_per_second: float = 12.0
    lookups_per_second: float = 12.0
    stream_share: float = 0.4
    action_share: float = 0.3
    keyed_share: float = 0.7
    tokens_max: int = 64
    payload_bytes_median: float = 400.0


class Training(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Load of trainers, each of which runs one step after the other.

    Attributes
    ----------
    trainers : int
        Number of concurrent trainers.
    groups : int
        Groups in a step; the samples of a group share their prompt.
    samples_per_group : int
        Samples in a group.
    tokens_max : int
        Exclusive upper limit of a sample, in tokens.
    """

    trainers: int = 2
    groups: int = 8
    samples_per_group: int = 4
    tokens_max: int = 96


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One fault to inject.

    Attributes
    ----------
    at_seconds : float
        When the fault starts, in seconds of load.
    target : str
        A stand-in, a process (``entry-3/rollout``) or a whole VM
        (``entry-3``).
    kind : str
        A fault of the stand-in, or ``kill``, ``pause``, ``terminate`` of a
        process; ``race`` edits the settings from several operators at once,
        ``poison`` sends a request that crashes engines.
    value : float
        Value of the stand-in's fault; for processes, how many seconds they
        are down or paused; for ``race`` the number of operators, for
        ``poison`` the number of times that the request is sent.
    for_seconds : float
        Duration of a stand-in's fault; 0 leaves it on.
    """

    at_seconds: float
    target: str
    kind: str
    value: float = 1.0
    for_seconds: float = 0.0


class Experiment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One run of a complete deployment.

    Attributes
    ----------
    name : str
        Names the result.
    deployment : str
        Folder below ``examples`` with the settings.
    vms : int
        Number of VMs that run daemons.
    seconds : float
        Duration of the load.
    publish_every_seconds : float
        Interval at which weight versions are published.
    configure_every_seconds : float
        Interval at which a setting is changed.
    freshness_versions : int
        How many versions a completion or sample may be behind.
    address_lifetime_seconds : float
        How long callers use the addresses of the entries before they fetch
        them again.
    """

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
    """Read and validate an experiment file."""
    return settings.read_struct(path, Experiment)
