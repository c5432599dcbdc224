"""Payloads on disk, one append-only file for each step, or in memory."""

import abc
import logging
import pathlib
import re
import struct

import msgspec
import xxhash

from swiftjunction import errors
from swiftjunction.spool import _messages

LOG = logging.getLogger(__name__)

STEP_ID_PATTERN = re.compile(r'^[a-z0-9][a-z0-9.-]*$')
# Each frame: length of the body, xxh3 of the body, body.
FRAME_HEAD = struct.Struct('<IQ')
MAX_FRAME_BYTES = 1 << 30


class Store(abc.ABC):
    """Keeps the payloads of steps."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def used_bytes(self) -> int:
        """Return how much is kept."""

    @abc.abstractmethod
    def put(self, step_id: str, payloads: list[_messages.Payload]) -> None:
        """Add `payloads` to the step's.

        Raises
        ------
        LinkError
            If the spool is full.
        """

    @abc.abstractmethod
    def fetch(self, step_id: str) -> list[_messages.Payload]:
        """Return the newest payload of each index."""

    @abc.abstractmethod
    def drop(self, step_id: str) -> None:
        """Forget the step."""

    @abc.abstractmethod
    def summarize(self) -> dict[str, object]:
        """Return the state, for a dump."""


class MemoryStore(Store):
    """Keeps payloads in memory, on a VM without a disk.

    Parameters
    ----------
    max_bytes : int
        At which the spool refuses more.
    """

    __slots__ = ('_max_bytes', '_steps')

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._steps: dict[str, dict[int, _messages.Payload]] = {}

    @property
    def used_bytes(self) -> int:
        return sum(
            len(payload.data)
            for step in self._steps.values()
            for payload in step.values()
        )

    def put(self, step_id: str, payloads: list[_messages.Payload]) -> None:
        size = sum(len(payload.data) for payload in payloads)
        if self.used_bytes + size > self._max_bytes:
            raise errors.LinkError('the spool is full', step='put')
        step = self._steps.setdefault(step_id, {})
        step.update({payload.index: payload for payload in payloads})

    def fetch(self, step_id: str) -> list[_messages.Payload]:
        return list(self._steps.get(step_id, {}).values())

    def drop(self, step_id: str) -> None:
        self._steps.pop(step_id, None)

    def summarize(self) -> dict[str, object]:
        return {'used_bytes': self.used_bytes, 'steps': sorted(self._steps)}


class DiskStore(Store):
    """Keeps payloads under one data folder.

    A frame that was torn by a crash in the middle of a write ends the file:
    whatever stands before it is good, as each frame has its own checksum. It
    is cut off before the next frame is written, which could not be found
    behind it.

    Parameters
    ----------
    folder : Path
        The data folder; made if it is missing.
    max_bytes : int
        At which the spool refuses more.
    """

    __slots__ = ('_folder', '_max_bytes', '_sizes')

    def __init__(self, folder: pathlib.Path, max_bytes: int) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._max_bytes = max_bytes
        self._sizes = {
            file.stem: cut_torn_end(file) for file in folder.glob('*.spool')
        }

    @property
    def used_bytes(self) -> int:
        return sum(self._sizes.values())

    def put(self, step_id: str, payloads: list[_messages.Payload]) -> None:
        body = msgspec.msgpack.encode(payloads)
        if self.used_bytes + len(body) > self._max_bytes:
            raise errors.LinkError('the spool is full', step='put')
        head = FRAME_HEAD.pack(len(body), xxhash.xxh3_64_intdigest(body))
        path = self._find_path(step_id)
        try:
            with path.open('ab') as file:
                file.write(head + body)
        except OSError:
            # A disk that is full may have taken a part of it.
            self._sizes[step_id] = cut_torn_end(path)
            raise
        self._sizes[step_id] = path.stat().st_size

    def fetch(self, step_id: str) -> list[_messages.Payload]:
        path = self._find_path(step_id)
        if not path.exists():
            return []
        newest: dict[int, _messages.Payload] = {}
        for body in read_frames(path.read_bytes()):
            for payload in msgspec.msgpack.decode(
                body, type=list[_messages.Payload]
            ):
                newest[payload.index] = payload
        return list(newest.values())

    def drop(self, step_id: str) -> None:
        self._find_path(step_id).unlink(missing_ok=True)
        self._sizes.pop(step_id, None)

    def summarize(self) -> dict[str, object]:
        return {'used_bytes': self.used_bytes, 'steps': dict(self._sizes)}

    def _find_path(self, step_id: str) -> pathlib.Path:
        if not STEP_ID_PATTERN.match(step_id):
            raise errors.LinkError(f'not a step: {step_id!r}', step='spool')
        return self._folder / f'{step_id}.spool'


def cut_torn_end(file: pathlib.Path) -> int:
    """Cut off what a crash left half written and return the size.

    Frames that were appended behind it could not be found again.
    """
    data = file.read_bytes()
    size = sum(FRAME_HEAD.size + len(body) for body in read_frames(data))
    if size < len(data):
        with file.open('r+b') as opened:
            opened.truncate(size)
    return size


def read_frames(data: bytes) -> list[bytes]:
    """Return the bodies of the whole frames in `data`."""
    bodies = []
    position = 0
    while position + FRAME_HEAD.size <= len(data):
        size, checksum = FRAME_HEAD.unpack_from(data, position)
        start = position + FRAME_HEAD.size
        body = data[start : start + size]
        if len(body) < size or xxhash.xxh3_64_intdigest(body) != checksum:
            LOG.warning('torn frame at byte %s left out', position)
            break
        bodies.append(body)
        position = start + size
    return bodies
