"""Keys that are bound to a team's subtree, kept hashed on the platform."""

import hashlib
import hmac
import logging
import secrets

import msgspec

from swiftjunction import errors
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore

LOG = logging.getLogger(__name__)

KEYS_PREFIX = 'keys/'
KEY_BYTES = 32
ADMINISTRATOR = 'administrator'


class Key(msgspec.Struct, frozen=True):
    """One key of a team, by its hash.

    A key has 256 random bits, so that a plain hash keeps it: there is
    nothing to guess from.
    """

    name: str
    sha256: str


class TeamKeys(msgspec.Struct, frozen=True):
    """All keys of one team: one object of the platform."""

    team: str
    nonce: str = ''
    keys: list[Key] = []


def hash_key(key: str) -> str:
    """Return what is kept of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyRing:
    """The keys in force on this daemon.

    A team without keys is open to everyone, unless the VM's settings name an
    administrator's key, which is good for every team.

    Parameters
    ----------
    table : RecordTable
        Has a record for each team's keys.
    administrator_sha256 : str
        Hash of the administrator's key; empty for none.
    """

    __slots__ = ('_administrator_sha256', '_teams')

    def __init__(
        self, table: membership.RecordTable, administrator_sha256: str = ''
    ) -> None:
        self._administrator_sha256 = administrator_sha256
        self._teams: dict[str, list[Key]] = {}
        table.listen(KEYS_PREFIX, self._learn)

    def _learn(self, record: links.Record) -> None:
        try:
            found = msgspec.json.decode(record.value, type=TeamKeys)
        except msgspec.MsgspecError as error:
            LOG.error('keys %s not applied: %s', record.key, error)
            return
        self._teams[found.team] = found.keys

    def identify(self, team: str, key: str) -> str:
        """Return the name of the holder of `key`; empty where none is needed.

        Raises
        ------
        KeyRefused
            If the key gives no right to the team's subtree.
        """
        digest = hash_key(key) if key else ''
        if self.is_administrator(key):
            return ADMINISTRATOR
        held = self._teams.get(team, [])
        if not held and not self._administrator_sha256:
            return ''
        for known in held:
            if hmac.compare_digest(known.sha256, digest):
                return known.name
        raise errors.KeyRefused(
            f'the subtree of team {team} needs a key of that team; '
            + ('this key is not one' if key else 'none was given'),
            step='authorize',
        )

    def is_administrator(self, key: str) -> bool:
        """Tell whether `key` is the administrator's."""
        return bool(
            key
            and self._administrator_sha256
            and hmac.compare_digest(self._administrator_sha256, hash_key(key))
        )

    def identify_operator(self, key: str) -> str:
        """Return the name of an operator of any team.

        Raises
        ------
        KeyRefused
            If some team has keys and this is none of them.
        """
        if not self._administrator_sha256 and not any(self._teams.values()):
            return ''
        for team in ['', *self._teams]:
            try:
                name = self.identify(team, key)
            except errors.KeyRefused:
                continue
            if name:
                return name
        raise errors.KeyRefused(
            'this needs the key of an operator', step='authorize'
        )


class KeyEditor:
    """Issues and withdraws the keys of teams on the platform."""

    __slots__ = ('_store',)

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store

    async def read(self, team: str) -> tuple[TeamKeys, int]:
        """Return a team's keys and the version of their object, or 0."""
        try:
            found = await self._store.read(f'{KEYS_PREFIX}{team}')
        except errors.ObjectMissing:
            return TeamKeys(team), 0
        return (
            msgspec.json.decode(found.value, type=TeamKeys),
            found.version,
        )

    async def issue(self, team: str, name: str) -> str:
        """Make a key called `name` and return it; it is not kept.

        A key of the same name stays good until it is withdrawn, so that a
        key is replaced without an interruption.
        """
        key = f'{team}.{secrets.token_urlsafe(KEY_BYTES)}'
        held, version = await self.read(team)
        keys = [*held.keys, Key(name, hash_key(key))]
        await self._write(team, keys, version)
        return key

    async def withdraw(self, team: str, name: str, keep: str = '') -> int:
        """Withdraw the keys called `name`, but for the one hashed `keep`.

        Returns
        -------
        int
            How many were withdrawn.
        """
        held, version = await self.read(team)
        keys = [k for k in held.keys if k.name != name or k.sha256 == keep]
        if len(keys) < len(held.keys):
            await self._write(team, keys, version)
        return len(held.keys) - len(keys)

    async def _write(self, team: str, keys: list[Key], version: int) -> None:
        value = msgspec.json.encode(TeamKeys(team, secrets.token_hex(8), keys))
        key = f'{KEYS_PREFIX}{team}'
        if version == 0:
            await objectstore.create_or_confirm(self._store, key, value)
        else:
            await objectstore.update_or_confirm(
                self._store, key, value, version
            )
