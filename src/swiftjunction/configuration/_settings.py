"""The settings of a path, and the subtree of a team."""

import re
import typing

import msgspec

from swiftjunction import errors

PATH_PATTERN = re.compile(r'^[a-z0-9][a-z0-9-]*(/[a-z0-9][a-z0-9.-]*)*$')

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class PathSettings(
    msgspec.Struct,
    forbid_unknown_fields=True,
    omit_defaults=True,
    frozen=True,
):
    """The settings for requests under one path.

    A field that is not set is inherited from the parent path. If no path sets
    it, it has the default given here in brackets.

    Attributes
    ----------
    model : str
        The model whose engines serve this path [none].
    service : str
        The plain service that serves this path [none].
    freshness_versions : int
        Number of versions by which the weights of a completion may be behind
        the newest [1].
    freshness_seconds : float
        Maximum age of the weights of a completion since their publication
        [none].
    timeout_seconds : float
        Timeout of a request, and upper bound of a timeout that its caller
        sets [30].
    request_class : str
        ``live``, ``internal`` or ``samples`` [live].
    max_in_flight : int
        Maximum number of concurrent requests of this path on each entry
        [256].
    team_max_in_flight : int
        Number of concurrent requests of the team, on all its paths, at which
        an entry refuses further requests of this path [none].
    policy : str
        The routing policy [two-choices].
    sample_load_ceiling : float
        Reported load of an engine at which samples have to wait [none].
    swap : str
        What happens to a generation when the weights change: ``finish``
        continues it, ``resume`` continues it after the new weights have
        processed the tokens so far, ``regenerate`` restarts it. A completion
        that is streamed is never restarted; any other one is restarted if it
        would be rejected as stale [finish].
    checks_fencing : bool
        Whether the backend servers of this path refuse old fencing tokens
        [false].
    least_servers, most_servers : int
        Minimum and maximum number of engines that placement gives to the
        model of this path. A model for which no path sets one of them keeps
        its engines [none].
    share : float
        Weight of the training steps of this path where several share engines,
        and priority of its model among models that are equally far below
        their minimum number of engines [1].
    """

    model: str | None = None
    service: str | None = None
    freshness_versions: Count | None = None
    freshness_seconds: Seconds | None = None
    timeout_seconds: Seconds | None = None
    request_class: typing.Literal['live', 'internal', 'samples'] | None = None
    max_in_flight: Count | None = None
    team_max_in_flight: Count | None = None
    policy: (
        typing.Literal[
            'round-robin', 'least-outstanding', 'two-choices', 'prefix'
        ]
        | None
    ) = None
    sample_load_ceiling: (
        typing.Annotated[float, msgspec.Meta(gt=0, le=100)] | None
    ) = None
    swap: typing.Literal['finish', 'resume', 'regenerate'] | None = None
    checks_fencing: bool | None = None
    least_servers: Count | None = None
    most_servers: Count | None = None
    share: typing.Annotated[float, msgspec.Meta(gt=0, le=1000)] | None = None


DEFAULTS = PathSettings(
    freshness_versions=1,
    timeout_seconds=30.0,
    request_class='live',
    max_in_flight=256,
    policy='two-choices',
    swap='finish',
    checks_fencing=False,
    share=1.0,
)


class Subtree(msgspec.Struct):
    """All settings of one team, stored as one object.

    A change replaces the whole object in one conditional write, so it is
    atomic for any number of paths.

    Attributes
    ----------
    nonce : str
        The nonce of the change that made this revision.
    changed_by : str
        The author of this revision.
    changed_at : str
        The time of this revision, in ISO 8601 format in UTC.
    """

    team: str
    revision: int = 0
    nonce: str = ''
    changed_by: str = ''
    changed_at: str = ''
    paths: dict[str, PathSettings] = {}


def check_path(path: str) -> str:
    """Return `path` if it is valid.

    Raises
    ------
    SettingsError
        If it is not ``team/part/part``.
    """
    if not PATH_PATTERN.match(path):
        raise errors.SettingsError(
            [
                f'path {path!r} must be a team and parts separated by "/", of '
                'lower-case letters, digits, "-" and, except in the team, "."'
            ]
        )
    return path


def merge_settings(own: PathSettings, inherited: PathSettings) -> PathSettings:
    """Return `own` with its unset fields taken from `inherited`."""
    return msgspec.structs.replace(
        inherited,
        **{
            field: value
            for field in PathSettings.__struct_fields__
            if (value := getattr(own, field)) is not None
        },
    )
