"""The settings of a path and the subtree of a team."""

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
    """What holds for requests under one path.

    A key that is not set is inherited from the path above; what no path sets
    has the default given here in brackets.

    Attributes
    ----------
    model : str
        The model whose engines serve this path.
    service : str
        The plain service that serves this path.
    freshness_versions : int
        How many versions behind the newest an answer's weights may be [1].
    freshness_seconds : float
        How old an answer's weights may be, since their publication [none].
    timeout_seconds : float
        Deadline of a request that brings none [30].
    request_class : str
        ``live``, ``internal`` or ``samples`` [live].
    max_in_flight : int
        Requests of this path at once on each entry [256].
    team_max_in_flight : int
        Requests of the whole team at once on each entry [none].
    policy : str
        The routing policy [two-choices].
    sample_load_ceiling : float
        Reported load of an engine from which on samples wait [none].
    checks_fencing : bool
        Whether the path's backend servers refuse old fencing tokens [false].
    share : float
        Weight of this path's trainers where several share engines [1].
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
    checks_fencing: bool | None = None
    share: typing.Annotated[float, msgspec.Meta(gt=0, le=1000)] | None = None


DEFAULTS = PathSettings(
    freshness_versions=1,
    timeout_seconds=30.0,
    request_class='live',
    max_in_flight=256,
    policy='two-choices',
    checks_fencing=False,
    share=1.0,
)


class Subtree(msgspec.Struct):
    """All of one team's settings: one object of the platform.

    As a change replaces the whole object under one condition, it is atomic
    over as many paths as it touches.
    """

    team: str
    revision: int = 0
    nonce: str = ''
    changed_by: str = ''
    changed_at: str = ''
    paths: dict[str, PathSettings] = {}


def check_path(path: str) -> str:
    """Return `path` if it is well formed.

    Raises
    ------
    SettingsError
        If it is not ``team/part/part``.
    """
    if not PATH_PATTERN.match(path):
        raise errors.SettingsError(
            [
                f'path {path!r}: must be a team and parts separated by "/", '
                'of lower-case letters, digits and "-"'
            ]
        )
    return path


def merge_settings(lower: PathSettings, upper: PathSettings) -> PathSettings:
    """Return `lower` with what it leaves unset taken from `upper`."""
    return msgspec.structs.replace(
        upper,
        **{
            field: value
            for field in PathSettings.__struct_fields__
            if (value := getattr(lower, field)) is not None
        },
    )
