"""Stores of payloads: an append-only file for each step, or memory."""

import abc
import logging
import pathlib
import re
import struct

import msgspec
import xxhash

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction.spool import _messages

LOG = logging.getLogger(__name__)

STEP_ID_PATTERN = re.compile(r'^[a-z0-9][a-z0-9.-]*$')
# A frame consists of the body length, the XXH3-64 hash of the body, and the
# body.
FRAME_HEADER = struct.Struct('<IQ')
MAX_FRAME_BYTES = 1 << 30


class Store(abc.ABC):
    """Stores the payloads of steps."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def used_bytes(self) -> int:
        """Return the space that the stored payloads occupy, in bytes."""

    @abc.abstractmethod
    def put(self, step_id: str, payloads: list[_messages.Payload]) -> None:
        """Store `payloads`, which replace older ones of the same index.

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
        """Delete all payloads of the step."""

    @abc.abstractmethod
    def summarize(self) -> dict[str, object]:
        """Return the state of the store for a diagnostic dump."""


class MemoryStore(Store):
    """Stores payloads in memory, for a VM without a disk.

    Parameters
    ----------
    max_bytes : int
        Capacity; payloads that would exceed it are refused.
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
    """Stores payloads in files under one folder.

    A crash during a write leaves a torn frame at the end of a file. The
    frames before it remain valid, as each has its own checksum. The torn
    frame is truncated before the next append, because readers stop there and
    would not find a frame behind it.

    Parameters
    ----------
    folder : Path
        The data folder; created if it does not exist.
    max_bytes : int
        Capacity; payloads that would exceed it are refused.
    """

    __slots__ = ('_folder', '_max_bytes', '_sizes')

    def __init__(self, folder: pathlib.Path, max_bytes: int) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._max_bytes = max_bytes
        self._sizes = {
            file.stem: truncate_torn_frame(file)
            for file in folder.glob('*.spool')
        }

    @property
    def used_bytes(self) -> int:
        return sum(self._sizes.values())

    def put(self, step_id: str, payloads: list[_messages.Payload]) -> None:
        body = msgspec.msgpack.encode(payloads)
        if self.used_bytes + len(body) > self._max_bytes:
            raise errors.LinkError('the spool is full', step='put')
        header = FRAME_HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body))
        path = self._get_path(step_id)
        try:
            with path.open('ab') as file:
                file.write(header + body)
        except OSError:
            # A full disk may have accepted a part of the frame.
            self._sizes[step_id] = truncate_torn_frame(path)
            raise
        self._sizes[step_id] = path.stat().st_size

    def fetch(self, step_id: str) -> list[_messages.Payload]:
        path = self._get_path(step_id)
        if not path.exists():
            return []
        newest: dict[int, _messages.Payload] = {}
        for body in read_frames(path.read_bytes()):
            for payload in decoding.decode_msgpack(
                body, list[_messages.Payload]
            ):
                newest[payload.index] = payload
        return list(newest.values())

    def drop(self, step_id: str) -> None:
        self._get_path(step_id).unlink(missing_ok=True)
        self._sizes.pop(step_id, None)

    def summarize(self) -> dict[str, object]:
        return {'used_bytes': self.used_bytes, 'steps': dict(self._sizes)}

    def _get_path(self, step_id: str) -> pathlib.Path:
        if not STEP_ID_PATTERN.match(step_id):
            raise errors.LinkError(
                f'invalid step identifier: {step_id!r}', step='spool'
            )
        return self._folder / f'{step_id}.spool'


def truncate_torn_frame(file: pathlib.Path) -> int:
    """Truncate `file` at its first torn frame and return the size in bytes.

    Frames appended after a torn frame would be unreachable.
    """
    data = file.read_bytes()
    size = sum(FRAME_HEADER.size + len(body) for body in read_frames(data))
    if size < len(data):
        with file.open('r+b') as writable:
            writable.truncate(size)
    return size


def read_frames(data: bytes) -> list[bytes]:
    """Return the bodies of the frames before the first torn one."""
    bodies = []
    position = 0
    while position + FRAME_HEADER.size <= len(data):
        size, checksum = FRAME_HEADER.unpack_from(data, position)
        start = position + FRAME_HEADER.size
        body = data[start : start + size]
        if len(body) < size or xxhash.xxh3_64_intdigest(body) != checksum:
            LOG.warning(
                'ignored all data from byte %s on: torn frame',
                position,
            )
            break
        bodies.append(body)
        position = start + size
    return bodies
