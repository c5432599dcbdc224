"""Fixtures and fakes shared by the tests."""

import hashlib
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


def make_address(name, port):
    """Return an address that belongs to a name."""
    parts = hashlib.blake2b(name.encode(), digest_size=3).digest()
    return '10.{}.{}.{}:{}'.format(*parts, port)


def find_name(address, names):
    """Return which of some names an address of port 1 belongs to."""
    [found] = (name for name in names if make_address(name, 1) == address)
    return found


class MemoryStore(objectstore.ObjectStore):
    """In-memory object store that injects the faults a test lists.

    Attributes
    ----------
    objects : dict
        Stored objects by key.
    revision : int
        Revision of the last write.
    faults : list of str
        Faults of the next calls, in order; each call consumes one:

        - ``ok``: the call succeeds.
        - ``refuse``: the call fails before it takes effect.
        - ``lose``: a write takes effect; its response, or that of a read, is
          lost.
        - ``drop``: the request of a write is lost.
        - ``delay``: like ``drop``, but the write arrives later.
        - ``land``: the delayed write arrives just before this call.
        - ``hang``: a write takes effect, but never gets a response.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.faults = []
        self._delayed = None

    def apply_delayed_write(self):
        """Apply the delayed write if the version still matches."""
        if self._delayed is not None:
            key, value, version = self._delayed
            self._delayed = None
            current = self.objects.get(key)
            if (current.version if current else 0) == version:
                self._put(key, value)

    def _start_call(self):
        fault = self.faults.pop(0) if self.faults else 'ok'
        if fault == 'refuse':
            raise errors.PlatformUnavailable('refused', step='test')
        if fault == 'land':
            self.apply_delayed_write()
        return fault

    def _fail_before_write(self, fault, key, value, version):
        if fault == 'delay':
            self._delayed = (key, value, version)
        if fault in ('drop', 'delay'):
            raise errors.WriteUncertain('dropped', step='test')

    async def _finish_write(self, fault, key):
        if fault == 'lose':
            raise errors.WriteUncertain('lost', step='test')
        if fault == 'hang':
            await anyio.sleep_forever()
        return self.objects[key].version

    def _put(self, key, value):
        self.revision += 1
        self.objects[key] = objectstore.Object(key, self.revision, value)

    async def read(self, key):
        if self._start_call() == 'lose':
            raise errors.PlatformUnavailable('lost', step='test')
        if key not in self.objects:
            raise errors.ObjectMissing(key)
        return self.objects[key]

    async def list(self, prefix):
        self._start_call()
        found = [o for k, o in self.objects.items() if k.startswith(prefix)]
        return objectstore.ChangeSet(self.revision, found, [])

    async def create(self, key, value):
        fault = self._start_call()
        self._fail_before_write(fault, key, value, 0)
        if key in self.objects:
            raise errors.RevisionConflict(key)
        self._put(key, value)
        return await self._finish_write(fault, key)

    async def update(self, key, value, version):
        fault = self._start_call()
        self._fail_before_write(fault, key, value, version)
        if key not in self.objects:
            raise errors.ObjectMissing(key)
        if self.objects[key].version != version:
            raise errors.RevisionConflict(key)
        self._put(key, value)
        return await self._finish_write(fault, key)

    async def delete(self, key, version):
        self._start_call()
        if self.objects[key].version != version:
            raise errors.RevisionConflict(key)
        del self.objects[key]

    async def watch(self, prefix, revision, wait_seconds):
        return await self.list(prefix)


def create_mock_client(handler):
    """Return an HTTP client whose requests `handler` answers."""
    return httpx.AsyncClient(
        transport=httpx.MockTransport(handler), base_url='http://test'
    )


class FakePeerClients:
    """HTTP clients whose requests to any address `handler` answers."""

    def __init__(self, handler):
        self._client = create_mock_client(handler)
        self._direct = web.DirectClient('test:80')
        self._direct._transport = httpx.MockTransport(handler)

    def get(self, address):
        return self._client

    def get_direct(self, address):
        return self._direct


class FakeClock:
    """Clock that only advances when a test sets `now`, in seconds."""

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
    return FakeClock()


@pytest.fixture
def rng():
    return random.Random(1)
