"""Compares replication of payloads with striping and parity.

Run it with ``python bench/payloads.py``. Spools serve over loopback, each in a
thread of its own. Each pattern stores the same samples in the same batches,
and reads them all back without one of the spools. Printed are the bytes stored
for each byte of payload, the CPU and wall clock seconds that writes and reads
take, and the number of samples lost.
"""

import contextlib
import pathlib
import random
import tempfile
import threading
import time

import anyio
import msgspec

from swiftjunction import links
from swiftjunction import spool
from swiftjunction import standins

SAMPLE_COUNT = 8192
SAMPLES_PER_BATCH = 64
SEED = 1
SPOOL_COUNT = 4

# Mean of the natural logarithm of the size of a sample.
MEAN_LOG_BYTES = 8.0
MAX_SPOOL_BYTES = 1 << 30


class Result(msgspec.Struct):
    """Costs of one pattern.

    Attributes
    ----------
    pattern : str
        ``two copies``, or the numbers of data and parity fragments.
    kept_ratio : float
        Bytes stored for each byte of payload.
    write_cpu_seconds, read_cpu_seconds : float
        CPU time of the client's thread.
    write_seconds, read_seconds : float
        Wall clock time.
    lost_samples : int
        Samples that could not be read back.
    """

    pattern: str
    kept_ratio: float = 0.0
    write_cpu_seconds: float = 0.0
    write_seconds: float = 0.0
    read_cpu_seconds: float = 0.0
    read_seconds: float = 0.0
    lost_samples: int = 0


class SpoolCluster:
    """Spools on loopback, each in a thread with its own event loop.

    Attributes
    ----------
    addresses : list of str
        Addresses of the spools.
    stores : list of DiskStore
        Stores of the spools, in the same order.
    """

    def __init__(self, folder: str) -> None:
        ports = standins.reserve_ports(SPOOL_COUNT)
        self.addresses = [f'127.0.0.1:{port}' for port in ports]
        self.stores = [
            spool.DiskStore(pathlib.Path(folder) / str(n), MAX_SPOOL_BYTES)
            for n in range(SPOOL_COUNT)
        ]
        for address, store in zip(self.addresses, self.stores, strict=True):
            threading.Thread(
                target=anyio.run,
                args=(_serve_spool, address, store),
                daemon=True,
            ).start()

    def compute_used_bytes(self) -> int:
        """Return the bytes that all spools use."""
        return sum(store.used_bytes for store in self.stores)


async def _serve_spool(address: str, store: spool.DiskStore) -> None:
    # The sockets close under these daemon threads when the program exits.
    with contextlib.suppress(BaseExceptionGroup):
        await spool.SpoolServer(links.Replier(address), store).run()


def make_batches() -> list[list[spool.Payload]]:
    """Return the samples of a step in batches, of log-normal sizes."""
    rng = random.Random(SEED)
    samples = [
        spool.Payload(
            index, rng.randbytes(int(rng.lognormvariate(MEAN_LOG_BYTES, 1)))
        )
        for index in range(SAMPLE_COUNT)
    ]
    return [
        samples[start : start + SAMPLES_PER_BATCH]
        for start in range(0, SAMPLE_COUNT, SAMPLES_PER_BATCH)
    ]


def compute_parity(fragments: list[bytes]) -> bytes:
    """Return the bitwise XOR of fragments of equal length."""
    parity = 0
    for fragment in fragments:
        parity ^= int.from_bytes(fragment, 'little')
    return parity.to_bytes(len(fragments[0]), 'little')


async def write_copies(
    clients: list[spool.SpoolClient], batches: list[list[spool.Payload]]
) -> None:
    """Write each batch to two spools."""
    for batch in batches:
        async with anyio.create_task_group() as tasks:
            for client in clients[:2]:
                tasks.start_soon(client.put, 'copies', batch)


async def read_copies(clients: list[spool.SpoolClient]) -> int:
    """Read the second copy, without the first spool, and count samples."""
    return len(await clients[1].fetch('copies'))


async def write_stripes(
    clients: list[spool.SpoolClient],
    batches: list[list[spool.Payload]],
    data_fragments: int,
) -> None:
    """Write each batch as data fragments and one parity fragment.

    The fragments of consecutive batches rotate over the spools.
    """
    step = f'stripes-{data_fragments}'
    for number, batch in enumerate(batches):
        body = msgspec.msgpack.encode(batch)
        fragment_bytes = -(-len(body) // data_fragments)
        fragments = [
            body[n * fragment_bytes : (n + 1) * fragment_bytes].ljust(
                fragment_bytes, b'\0'
            )
            for n in range(data_fragments)
        ]
        fragments.append(compute_parity(fragments))
        async with anyio.create_task_group() as tasks:
            for position, fragment in enumerate(fragments):
                client = clients[(number + position) % (data_fragments + 1)]
                # The index holds the number of the batch and the position.
                payload = spool.Payload(
                    number * 16 + position,
                    msgspec.msgpack.encode((len(body), fragment)),
                )
                tasks.start_soon(client.put, step, [payload])


async def read_stripes(
    clients: list[spool.SpoolClient], data_fragments: int
) -> int:
    """Rebuild each batch, without the first spool, and count samples."""
    step = f'stripes-{data_fragments}'
    stripes: dict[int, dict[int, tuple[int, bytes]]] = {}
    for client in clients[1 : data_fragments + 1]:
        for payload in await client.fetch(step):
            number, position = divmod(payload.index, 16)
            fragment = msgspec.msgpack.decode(
                payload.data, type=tuple[int, bytes]
            )
            stripes.setdefault(number, {})[position] = fragment
    return sum(
        len(_decode_stripe(fragments, data_fragments))
        for fragments in stripes.values()
    )


def _decode_stripe(
    fragments: dict[int, tuple[int, bytes]], data_fragments: int
) -> list[spool.Payload]:
    body_bytes = next(iter(fragments.values()))[0]
    missing = set(range(data_fragments)) - set(fragments)
    data_by_position = {
        position: fragment for position, (_, fragment) in fragments.items()
    }
    for position in missing:
        data_by_position[position] = compute_parity(
            list(data_by_position.values())
        )
    body = b''.join(data_by_position[n] for n in range(data_fragments))[
        :body_bytes
    ]
    return msgspec.msgpack.decode(body, type=list[spool.Payload])


async def measure_pattern(spools: SpoolCluster, data_fragments: int) -> Result:
    """Measure one pattern; 0 data fragments stand for two copies."""
    batches = make_batches()
    payload_bytes = sum(len(p.data) for batch in batches for p in batch)
    clients = [spool.SpoolClient(a) for a in spools.addresses]
    name = f'{data_fragments}+1' if data_fragments else 'two copies'
    result = Result(name)
    used_bytes_before = spools.compute_used_bytes()
    cpu_started, started_at = time.thread_time(), time.monotonic()
    if data_fragments:
        await write_stripes(clients, batches, data_fragments)
    else:
        await write_copies(clients, batches)
    result.write_cpu_seconds = time.thread_time() - cpu_started
    result.write_seconds = time.monotonic() - started_at
    result.kept_ratio = (
        spools.compute_used_bytes() - used_bytes_before
    ) / payload_bytes
    cpu_started, started_at = time.thread_time(), time.monotonic()
    if data_fragments:
        read_count = await read_stripes(clients, data_fragments)
    else:
        read_count = await read_copies(clients)
    result.read_cpu_seconds = time.thread_time() - cpu_started
    result.read_seconds = time.monotonic() - started_at
    result.lost_samples = SAMPLE_COUNT - read_count
    return result


async def main() -> None:
    """Measure each pattern twice, in turn, and print a table."""
    with tempfile.TemporaryDirectory() as folder:
        spools = SpoolCluster(folder)
        for data_fragments in (0, 2, 3, 0, 2, 3):
            for store in spools.stores:
                for step in ('copies', 'stripes-2', 'stripes-3'):
                    store.drop(step)
            result = await measure_pattern(spools, data_fragments)
            print(
                f'{result.pattern:<12}'
                f'kept {result.kept_ratio:.2f}x  '
                f'write {result.write_cpu_seconds:.2f} s CPU '
                f'{result.write_seconds:.2f} s  '
                f'read {result.read_cpu_seconds:.3f} s CPU '
                f'{result.read_seconds:.3f} s  '
                f'lost {result.lost_samples}'
            )


if __name__ == '__main__':
    anyio.run(main)
