"""Compares two copies of payloads with striped fragments and parity.

Run it with ``python bench/payloads.py``. Real spools serve over loopback from
threads of their own; each pattern keeps the same samples in the same batches,
loses one spool, and reads all samples back. It prints bytes kept, CPU seconds
of the writer, and the time and CPU to read back.
"""

import contextlib
import pathlib
import random
import tempfile
import threading
import time

import anyio
import msgspec

from swiftjunction.demo import _fleet
from swiftjunction import links
from swiftjunction import spool

SAMPLES = 8192
BATCH_SAMPLES = 64
SEED = 1
SPOOLS = 4

MEAN_LOG_BYTES = 8.0
MAX_SPOOL_BYTES = 1 << 30


class Result(msgspec.Struct):
    """What one pattern cost."""

    pattern: str
    kept_ratio: float = 0.0
    write_cpu_seconds: float = 0.0
    write_seconds: float = 0.0
    read_cpu_seconds: float = 0.0
    read_seconds: float = 0.0
    lost_samples: int = 0


class Spools:
    """Real spools on loopback, each in a thread with its own loop."""

    def __init__(self, folder: str) -> None:
        ports = _fleet.find_free_ports(SPOOLS)
        self.addresses = [f'127.0.0.1:{port}' for port in ports]
        self.stores = [
            spool.DiskStore(pathlib.Path(folder) / str(n), MAX_SPOOL_BYTES)
            for n in range(SPOOLS)
        ]
        for address, store in zip(self.addresses, self.stores, strict=True):
            threading.Thread(
                target=anyio.run, args=(_serve, address, store), daemon=True
            ).start()

    def used_bytes(self) -> int:
        """Return what all of them keep."""
        return sum(store.used_bytes for store in self.stores)


async def _serve(address: str, store: spool.DiskStore) -> None:
    # The sockets of these threads are closed as the program ends.
    with contextlib.suppress(BaseExceptionGroup):
        await spool.SpoolServer(links.Replier(address), store).run()


def make_batches() -> list[list[spool.Payload]]:
    """Return samples of heavy-tailed sizes in the batches of a step."""
    rng = random.Random(SEED)
    samples = [
        spool.Payload(
            index, rng.randbytes(int(rng.lognormvariate(MEAN_LOG_BYTES, 1)))
        )
        for index in range(SAMPLES)
    ]
    return [
        samples[start : start + BATCH_SAMPLES]
        for start in range(0, SAMPLES, BATCH_SAMPLES)
    ]


def xor(fragments: list[bytes]) -> bytes:
    """Return the parity of fragments of equal length."""
    parity = 0
    for fragment in fragments:
        parity ^= int.from_bytes(fragment, 'little')
    return parity.to_bytes(len(fragments[0]), 'little')


async def write_copies(
    clients: list[spool.SpoolClient], batches: list[list[spool.Payload]]
) -> None:
    """Put each batch on two spools."""
    for batch in batches:
        async with anyio.create_task_group() as tasks:
            for client in clients[:2]:
                tasks.start_soon(client.put, 'copies', batch)


async def read_copies(clients: list[spool.SpoolClient]) -> int:
    """Read the second copy, the first spool being lost."""
    return len(await clients[1].fetch('copies'))


async def write_stripes(
    clients: list[spool.SpoolClient],
    batches: list[list[spool.Payload]],
    data_fragments: int,
) -> None:
    """Cut each batch into fragments, and add their parity."""
    step = f'stripes-{data_fragments}'
    for number, batch in enumerate(batches):
        body = msgspec.msgpack.encode(batch)
        size = -(-len(body) // data_fragments)
        fragments = [
            body[n * size : (n + 1) * size].ljust(size, b'\0')
            for n in range(data_fragments)
        ]
        fragments.append(xor(fragments))
        async with anyio.create_task_group() as tasks:
            for place, fragment in enumerate(fragments):
                client = clients[(number + place) % (data_fragments + 1)]
                payload = spool.Payload(
                    number * 16 + place,
                    msgspec.msgpack.encode((len(body), fragment)),
                )
                tasks.start_soon(client.put, step, [payload])


async def read_stripes(
    clients: list[spool.SpoolClient], data_fragments: int
) -> int:
    """Rebuild every batch without the first spool."""
    step = f'stripes-{data_fragments}'
    stripes: dict[int, dict[int, tuple[int, bytes]]] = {}
    for client in clients[1 : data_fragments + 1]:
        for payload in await client.fetch(step):
            number, place = divmod(payload.index, 16)
            fragment = msgspec.msgpack.decode(
                payload.data, type=tuple[int, bytes]
            )
            stripes.setdefault(number, {})[place] = fragment
    return sum(len(_join(found, data_fragments)) for found in stripes.values())


def _join(
    found: dict[int, tuple[int, bytes]], data_fragments: int
) -> list[spool.Payload]:
    length = next(iter(found.values()))[0]
    missing = set(range(data_fragments)) - set(found)
    parts = {place: fragment for place, (_, fragment) in found.items()}
    for place in missing:
        parts[place] = xor(list(parts.values()))
    body = b''.join(parts[n] for n in range(data_fragments))[:length]
    return msgspec.msgpack.decode(body, type=list[spool.Payload])


async def measure(spools: Spools, data_fragments: int) -> Result:
    """Run one pattern; 0 fragments are two copies."""
    batches = make_batches()
    plain = sum(len(p.data) for batch in batches for p in batch)
    clients = [spool.SpoolClient(a) for a in spools.addresses]
    name = f'{data_fragments}+1' if data_fragments else 'two copies'
    result = Result(name)
    before = spools.used_bytes()
    cpu, clock = time.thread_time(), time.monotonic()
    if data_fragments:
        await write_stripes(clients, batches, data_fragments)
    else:
        await write_copies(clients, batches)
    result.write_cpu_seconds = time.thread_time() - cpu
    result.write_seconds = time.monotonic() - clock
    result.kept_ratio = (spools.used_bytes() - before) / plain
    cpu, clock = time.thread_time(), time.monotonic()
    if data_fragments:
        found = await read_stripes(clients, data_fragments)
    else:
        found = await read_copies(clients)
    result.read_cpu_seconds = time.thread_time() - cpu
    result.read_seconds = time.monotonic() - clock
    result.lost_samples = SAMPLES - found
    return result


async def main() -> None:
    """Run all patterns in turn and print a table."""
    with tempfile.TemporaryDirectory() as folder:
        spools = Spools(folder)
        for data_fragments in (0, 2, 3, 0, 2, 3):
            for store in spools.stores:
                for step in ('copies', 'stripes-2', 'stripes-3'):
                    store.drop(step)
            result = await measure(spools, data_fragments)
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
