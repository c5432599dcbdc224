"""Decides whether the key of a request is valid."""

import collections.abc

import msgspec

from swiftjunction import errors
from swiftjunction.organisations import _confirmation
from swiftjunction.organisations import _keys

# A VM in touch with the store has its next confirmation within about this
# time.
RETRY_SECONDS = 0.3


class KeyPolicy(msgspec.Struct, frozen=True):
    """The bounds that a deployment sets on keys.

    Attributes
    ----------
    strict : bool
        Whether a VM stops serving a removed key within `revoke_seconds` even
        if it receives no configurations.
    revoke_seconds : float
        Time from the acknowledgement of a configuration until the keys that
        it lacks are no longer served, in seconds.
    apply_seconds : float
        Time from the acknowledgement of a configuration until the keys that
        it adds are served, in seconds.
    """

    strict: bool
    revoke_seconds: float
    apply_seconds: float

    @property
    def max_age_seconds(self) -> float:
        """Return the age of a confirmation up to which keys are served."""
        return _confirmation.compute_max_age_seconds(self.revoke_seconds)


class InvalidKey(msgspec.Struct, frozen=True):
    """What a request has instead of one key.

    Attributes
    ----------
    reason : str
        Tells the caller what is wrong.
    """

    reason: str


def select_key(values: collections.abc.Sequence[str]) -> str | InvalidKey:
    """Return the key that a request names in the values of its header."""
    if len(values) > 1:
        return InvalidKey('the request has several keys')
    if not values or not values[0]:
        return InvalidKey('the request has no key')
    return values[0]


def find_organisation(
    keys: _keys.KeyTable,
    key: str | InvalidKey,
    age_seconds: float,
    policy: KeyPolicy,
) -> _keys.Organisation:
    """Return the organisation of a request.

    Parameters
    ----------
    keys : KeyTable
        The table in effect. It holds all changes that were acknowledged more
        than `age_seconds` ago.

    Raises
    ------
    KeyUnknown
        If the table has had time to receive the key, and lacks it.
    NotRun
        If it is not known whether the key is valid.
    """
    found = keys.find(key) if isinstance(key, str) else None
    if found is not None:
        if policy.strict and age_seconds > policy.max_age_seconds:
            raise _build_uncertain_error('may have been removed')
        return found
    if age_seconds > policy.apply_seconds:
        raise _build_uncertain_error('may have been added')
    raise errors.KeyUnknown(
        key.reason
        if isinstance(key, InvalidKey)
        else 'no organisation has the key of the request',
        step='key',
    )


def _build_uncertain_error(reason: str) -> errors.NotRun:
    return errors.NotRun(
        f'the key {reason} since this VM last received the keys',
        step='key',
        retry_after_seconds=RETRY_SECONDS,
    )
