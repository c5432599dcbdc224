"""A resumed stream ends as complete with the body of a worker's failure."""

import asyncio
import random
import re
import time

import deployment
import web
import workers

SERVICE = 'llm'
PREFIX = '/note/'
WORKER_COUNT = 5
EVENTS = 30
EVENT_SECONDS = 0.05
# srv_crash of the site file: up to 0.22 of the workers, for 3 to 5 s.
CRASH_AT_SECONDS = (3.0, 8.0, 13.0, 18.0, 23.0)
CRASH_SECONDS = 3.7
PLAY_SECONDS = 28.0
STREAMS_PER_SECOND = 18
DEADLINE_MS = 5000
# Runs that a worker ends with a 500 of its own; srv_grey has 0.4.
FAILURE_SHARE = 0.3
FAILURE = b'{"error": "out of memory"}'
FRAME = re.compile(rb'id: (\d+)\ndata: ([^\n]*)\n\n')


class FailingWorker(workers.EngineWorker):
    """Ends some runs with a 500 of its own, before their first event."""

    def __init__(self, *args, seed, **more):
        super().__init__(*args, **more)
        self._rng = random.Random(seed)

    async def _generate(self, request):
        request_id = request.headers.get('swiftjunction-attempt-id', '')
        if self._rng.random() >= FAILURE_SHARE:
            await super()._generate(request)
            return
        self.arrivals.append((time.monotonic(), request_id))
        with self.record_run(request_id) as run:
            await asyncio.sleep(EVENT_SECONDS)
            run['outcome'] = 'failed with 500'
            await request.connection.respond(
                500,
                FAILURE,
                [
                    ('Content-Type', 'application/json'),
                    ('Swiftjunction-Attempt-Id', request_id),
                    (
                        'Swiftjunction-Response-Signature',
                        f'signed.{request_id}.failed',
                    ),
                ],
            )


def make_worker(case, number, start):
    return FailingWorker(
        case.store,
        case.make_ip(100 + number),
        f'i-engine-{number}-{start}',
        SERVICE,
        deployment.ZONES[number % 3],
        model='m0',
        events=EVENTS,
        event_seconds=EVENT_SECONDS,
        seed=number + 100 * start,
    )


async def crash_workers(case, began_at):
    """Let one worker crash at each of the times, and start again."""
    for start, seconds in enumerate(CRASH_AT_SECONDS, 1):
        await asyncio.sleep(began_at + seconds - time.monotonic())
        number = start % WORKER_COUNT
        crashed = case.workers[number]
        case.note(
            f'{crashed.name} crashes with {crashed.running} requests at work'
        )
        await crashed.stop()
        await asyncio.sleep(CRASH_SECONDS)
        case.store.remove('servers', crashed.name)
        again = make_worker(case, number, start)
        again.server.port = crashed.server.port
        case.gone.append(crashed)
        case.workers[number] = await again.start()


def check_stream(request_id, answer):
    """Return what is wrong with an answer that looks complete, or None."""
    if not answer.complete or answer.status != 200:
        return None
    frames = FRAME.findall(answer.body)
    numbers = [int(number) for number, _ in frames]
    rest = FRAME.sub(b'', answer.body)
    data = [text.decode() for _, text in frames]
    whole = [workers.make_data(request_id, n) for n in range(EVENTS)]
    if rest or numbers != list(range(EVENTS)) or data != whole:
        return (
            f'status 200, ends as complete after {len(numbers)} of {EVENTS} '
            f'events, and has other bytes: {rest[:60]!r}'
        )
    return None


async def send(case, number, broken, outcomes):
    request_id = f'stream-{number}'
    vm = case.vms[number % len(case.vms)]
    answer = await web.call(
        vm.get_address('front'),
        'POST',
        f'{PREFIX}{number}',
        [
            ('Host', deployment.HOST),
            ('Swiftjunction-Attempt-Id', request_id),
            ('Swiftjunction-Deadline-Ms', str(DEADLINE_MS)),
            ('Swiftjunction-Model', 'm0'),
            ('Swiftjunction-Token-Usage', '540,400'),
        ],
        f'note {number}'.encode(),
        timeout=DEADLINE_MS / 1000,
    )
    wrong = check_stream(request_id, answer)
    runs = [
        f'{w.name}: {r["outcome"]}'
        for w in [*case.workers, *case.gone]
        for r in w.runs
        if r['id'] == request_id
    ]
    outcome = wrong or answer.describe()
    outcomes[answer.describe()] = outcomes.get(answer.describe(), 0) + 1
    if len(runs) > 1 or wrong:
        case.note(f'{request_id} at {vm.name}: {outcome}; runs {runs}')
    if wrong:
        broken.append(f'{request_id}: {wrong}; runs {runs}')


async def play(case):
    case.gone = []
    case.workers += [make_worker(case, n, 0) for n in range(WORKER_COUNT)]
    await case.start(
        3,
        deployment.make_config(
            1,
            [
                {
                    'name': 'r-note',
                    'host': deployment.HOST,
                    'path_prefix': PREFIX,
                    'kind': 'streaming',
                    'resumable': True,
                    'sticky': True,
                    'timeout_ms': 10000,
                    'slo_ms': 400,
                    'priority': 1,
                    'service': SERVICE,
                    'max_attempts': 3,
                }
            ],
            {SERVICE: {'engine': {'capacity': 8, 'models': [{'name': 'm0'}]}}},
        ),
    )
    began_at = time.monotonic()
    crashing = None
    if case.trouble:
        crashing = asyncio.ensure_future(crash_workers(case, began_at))
    broken = []
    outcomes = {}
    sending = []
    number = 0
    while time.monotonic() < began_at + PLAY_SECONDS:
        number += 1
        sending.append(
            asyncio.ensure_future(send(case, number, broken, outcomes))
        )
        await asyncio.sleep(1 / STREAMS_PER_SECOND)
    await asyncio.gather(*sending)
    if crashing is not None:
        await crashing
    case.note(f'{number} streams: {outcomes}')
    return broken


deployment.run(__file__, play)
