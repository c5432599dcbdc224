"""Operator keys of teams, stored as hashes in the object store."""

import hashlib
import hmac
import logging
import secrets

import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

KEYS_PREFIX = 'keys/'
KEY_BYTES = 32
ADMINISTRATOR = 'administrator'


class OperatorKey(msgspec.Struct, frozen=True):
    """One key of a team, stored as its hash.

    A key has 256 random bits and cannot be guessed, so that a plain
    hash is sufficient.

    Attributes
    ----------
    name : str
        The name of the operator who holds the key.
    sha256 : str
        The hash of the key, in hexadecimal digits.
    """

    name: str
    sha256: str


class TeamKeys(msgspec.Struct, frozen=True):
    """All keys of one team, stored as one object."""

    team: str
    nonce: str = ''
    keys: list[OperatorKey] = []


def hash_key(key: str) -> str:
    """Return the hash that is stored for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyRing:
    """The active keys, updated from the shared records.

    A team without keys is open to everyone, unless the settings of the VM
    have an administrator key, which is valid for every team.

    Parameters
    ----------
    table : RecordTable
        The shared records, with one record for the keys of each team.
    administrator_sha256 : str
        Hash of the administrator key; empty for none.
    """

    __slots__ = ('_administrator_sha256', '_teams')

    def __init__(
        self, table: membership.RecordTable, administrator_sha256: str = ''
    ) -> None:
        self._administrator_sha256 = administrator_sha256
        self._teams: dict[str, list[OperatorKey]] = {}
        table.listen(KEYS_PREFIX, self._apply_record)

    def _apply_record(self, record: links.Record) -> None:
        try:
            found = decoding.decode_json(record.value, TeamKeys)
        except errors.ContentBroken as error:
            LOG.error('ignoring invalid key list %s: %s', record.key, error)
            return
        self._teams[found.team] = found.keys

    def identify(self, team: str, key: str) -> str:
        """Return the operator who holds `key`; empty if the team needs none.

        Raises
        ------
        KeyRefused
            If the key does not allow access to the subtree of the team.
        """
        digest = hash_key(key) if key else ''
        if self.is_administrator(key):
            return ADMINISTRATOR
        team_keys = self._teams.get(team, [])
        if not team_keys and not self._administrator_sha256:
            return ''
        for team_key in team_keys:
            if hmac.compare_digest(team_key.sha256, digest):
                return team_key.name
        raise errors.KeyRefused(
            f'the subtree of team {team} needs a key of that team; '
            + (
                'the given key does not belong to it'
                if key
                else 'none was given'
            ),
            step='authorize',
        )

    def is_administrator(self, key: str) -> bool:
        """Return whether `key` is the administrator key."""
        return bool(
            key
            and self._administrator_sha256
            and hmac.compare_digest(self._administrator_sha256, hash_key(key))
        )

    def identify_operator(self, key: str) -> str:
        """Return the operator who holds `key`, whichever team it is for.

        Empty if no key is needed.

        Raises
        ------
        KeyRefused
            If there are keys and `key` is none of them.
        """
        if not self._administrator_sha256 and not any(self._teams.values()):
            return ''
        # The empty name is no team, and only the administrator key fits it.
        for team in ['', *self._teams]:
            try:
                name = self.identify(team, key)
            except errors.KeyRefused:
                continue
            if name:
                return name
        raise errors.KeyRefused(
            'a valid operator key is required', step='authorize'
        )


class KeyEditor:
    """Issues and withdraws the keys of teams in the object store."""

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store

    async def read(self, team: str) -> tuple[TeamKeys, int]:
        """Return the keys of a team and their object version; 0 for none."""
        try:
            found = await self._store.read(f'{KEYS_PREFIX}{team}')
        except errors.ObjectMissing:
            return TeamKeys(team), 0
        return (
            objectstore.decode_value(found, TeamKeys),
            found.version,
        )

    async def issue(self, team: str, name: str) -> str:
        """Return a new key for the operator `name`; only its hash is stored.

        Other keys of the same operator stay valid until they are withdrawn, so
        that a key can be replaced without interruption.
        """
        key = f'{team}.{secrets.token_urlsafe(KEY_BYTES)}'
        current, version = await self.read(team)
        keys = [*current.keys, OperatorKey(name, hash_key(key))]
        await self._write(team, keys, version)
        return key

    async def withdraw(self, team: str, name: str, keep: str = '') -> int:
        """Withdraw the keys of the operator `name`, except the hash `keep`.

        Returns
        -------
        int
            The number of withdrawn keys.
        """
        current, version = await self.read(team)
        keys = [k for k in current.keys if k.name != name or k.sha256 == keep]
        if len(keys) < len(current.keys):
            await self._write(team, keys, version)
        return len(current.keys) - len(keys)

    async def _write(
        self, team: str, keys: list[OperatorKey], version: int
    ) -> None:
        value = msgspec.json.encode(TeamKeys(team, secrets.token_hex(8), keys))
        object_key = f'{KEYS_PREFIX}{team}'
        if version == 0:
            await objectstore.create_or_confirm(self._store, object_key, value)
        else:
            await objectstore.update_or_confirm(
                self._store, object_key, value, version
            )
