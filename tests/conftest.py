"""Fixtures and fakes that the tests share."""

import random

import anyio
import httpx
import hypothesis
import pytest

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import web

hypothesis.settings.register_profile(
    'deterministic', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('deterministic')


class MemoryStore(objectstore.ObjectStore):
    """An object API in memory whose next calls fail as the test says.

    Attributes
    ----------
    faults : list of str
        Consumed one a call: ``ok``, ``refuse``, ``lose`` (a write takes
        effect and its answer is lost), ``drop`` (a write and its answer are
        lost), ``delay`` (as ``drop``, but the write takes effect later),
        ``land`` (the delayed write takes effect just before this call) or
        ``hang`` (a write takes effect and is never answered).
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.faults = []
        self._delayed = None

    def land(self):
        """Let the delayed write arrive, still under its condition."""
        if self._delayed is not None:
            key, value, version = self._delayed
            self._delayed = None
            held = self.objects.get(key)
            if (held.version if held else 0) == version:
                self._put(key, value)

    def _enter(self):
        fault = self.faults.pop(0) if self.faults else 'ok'
        if fault == 'refuse':
            raise errors.PlatformUnavailable('refused', step='test')
        if fault == 'land':
            self.land()
        return fault

    def _lose_before(self, fault, key, value, version):
        if fault == 'delay':
            self._delayed = (key, value, version)
        if fault in ('drop', 'delay'):
            raise errors.WriteUncertain('dropped', step='test')

    async def _leave(self, fault, key):
        if fault == 'lose':
            raise errors.WriteUncertain('lost', step='test')
        if fault == 'hang':
            await anyio.sleep_forever()
        return self.objects[key].version

    def _put(self, key, value):
        self.revision += 1
        self.objects[key] = objectstore.Object(key, self.revision, value)

    async def read(self, key):
        if self._enter() == 'lose':
            raise errors.PlatformUnavailable('lost', step='test')
        if key not in self.objects:
            raise errors.ObjectMissing(key)
        return self.objects[key]

    async def list(self, prefix):
        self._enter()
        found = [o for k, o in self.objects.items() if k.startswith(prefix)]
        return objectstore.ChangeSet(self.revision, found, [])

    async def create(self, key, value):
        fault = self._enter()
        self._lose_before(fault, key, value, 0)
        if key in self.objects:
            raise errors.RevisionConflict(key)
        self._put(key, value)
        return await self._leave(fault, key)

    async def update(self, key, value, version):
        fault = self._enter()
        self._lose_before(fault, key, value, version)
        if key not in self.objects:
            raise errors.ObjectMissing(key)
        if self.objects[key].version != version:
            raise errors.RevisionConflict(key)
        self._put(key, value)
        return await self._leave(fault, key)

    async def delete(self, key, version):
        self._enter()
        if self.objects[key].version != version:
            raise errors.RevisionConflict(key)
        del self.objects[key]

    async def watch(self, prefix, revision, wait_seconds):
        return await self.list(prefix)


def connect(answer):
    """Return an HTTP client whose server is the function `answer`."""
    return httpx.AsyncClient(
        transport=httpx.MockTransport(answer), base_url='http://test'
    )


class FixedPeers:
    """HTTP clients that all reach the function `answer`."""

    def __init__(self, answer):
        self._client = connect(answer)
        self._direct = web.DirectClient('test')
        self._direct._transport = httpx.MockTransport(answer)

    def get(self, address):
        return self._client

    def get_direct(self, address):
        return self._direct


class Clock:
    """A clock that the test moves."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def rng():
    return random.Random(1)
