"""Requests taken late in a planned stop are cut off at its end."""

import asyncio
import signal
import time

import deployment
import web
import workers

PLAIN = 'ledger'
STREAMING = 'notes'
# grace_s of the settings: SIGKILL comes so long after SIGTERM.
GRACE_SECONDS = 8.0
# A requester may keep addresses three times as long as the answer says.
KEEP_FACTOR = 3
# Of the rule: what was sent by then after SIGTERM may be cut off.
EXCUSED_SECONDS = 3.0
WORK_MS = 3500
DEADLINE_MS = 6000
ROUTE_TIMEOUT_MS = 10_000
SEND_AFTER_SECONDS = (0.5, 1.5, 2.5, 4.6, 4.9, 5.2, 5.5)
PREFIXES = {'payout': '/pay/', 'stream': '/note/'}


class StreamWorker(workers.EngineWorker):
    """Streams one event each 0.1 s for as long as plain requests take."""

    def __init__(self, *args):
        super().__init__(
            *args, model='m0', events=WORK_MS // 100, event_seconds=0.1
        )


def make_routes():
    return [
        {
            'name': f'r-{name}',
            'host': deployment.HOST,
            'path_prefix': prefix,
            'kind': kind,
            'timeout_ms': ROUTE_TIMEOUT_MS,
            'slo_ms': 4000,
            'priority': 1,
            'service': service,
            'max_attempts': 2,
        }
        for name, prefix, kind, service in (
            ('payout', PREFIXES['payout'], 'unsafe', PLAIN),
            ('stream', PREFIXES['stream'], 'streaming', STREAMING),
        )
    ]


async def send(case, vm, kind, number, send_at, stopped_at):
    """Send one request on a new channel; return its id and its answer."""
    await asyncio.sleep(max(send_at - time.monotonic(), 0.0))
    request_id = f'{kind}-{number}'
    case.note(
        f'{request_id}: sent to {vm.name} {send_at - stopped_at:.1f} s after '
        f'the stop began, deadline {DEADLINE_MS} ms'
    )
    answer = await web.call(
        vm.get_address('front'),
        'POST',
        f'{PREFIXES[kind]}{WORK_MS}',
        [
            ('Host', deployment.HOST),
            ('Swiftjunction-Attempt-Id', request_id),
            ('Swiftjunction-Deadline-Ms', str(DEADLINE_MS)),
        ],
        b'crew 17',
        timeout=DEADLINE_MS / 1000,
    )
    case.note(
        f'{request_id}: {answer.describe()} '
        f'{time.monotonic() - stopped_at:.2f} s after the stop began'
    )
    return request_id, send_at - stopped_at, answer


async def stop(case, vm, stopped_at):
    """Stop a machine as the platform does, and start it again."""
    case.signal(vm, signal.SIGTERM)
    while time.monotonic() < stopped_at + GRACE_SECONDS:
        if vm.process.poll() is not None:
            break
        await asyncio.sleep(0.01)
    else:
        case.signal(vm, signal.SIGKILL)
    vm.process.wait()
    case.note(
        f'{vm.name} has ended {time.monotonic() - stopped_at:.2f} s after '
        'SIGTERM'
    )
    await asyncio.sleep(0.5)
    case.start_vm(vm)


async def play(case):
    for n in range(3):
        for kind, service in (
            (workers.PlainWorker, PLAIN),
            (StreamWorker, STREAMING),
        ):
            case.workers.append(
                kind(
                    case.store,
                    case.make_ip(100 + len(case.workers)),
                    f'i-{service}-{n}',
                    service,
                    deployment.ZONES[n],
                )
            )
    await case.start(
        3,
        deployment.make_config(1, make_routes(), {PLAIN: {}, STREAMING: {}}),
    )
    vm = case.vms[0]
    resolved = await web.call(
        vm.get_address('directory'),
        'GET',
        f'/resolve?name={deployment.HOST}&region=region-1&zone={vm.zone}',
    )
    resolved_at = time.monotonic()
    case.note(f'resolve: {resolved.body.decode()}')
    kept_until = resolved_at + KEEP_FACTOR * resolved.json()['ttl_s']
    if vm.get_address('front') not in resolved.json()['addresses']:
        raise deployment.NotRun('the machine is not among the addresses')
    stopped_at = time.monotonic()
    stopping = None
    if case.trouble:
        stopping = asyncio.ensure_future(stop(case, vm, stopped_at))
    sending = [
        send(case, vm, kind, number, stopped_at + after, stopped_at)
        for number, after in enumerate(SEND_AFTER_SECONDS)
        for kind in PREFIXES
        # The requester still has the address then.
        if stopped_at + after < kept_until
    ]
    sent = await asyncio.gather(*sending)
    if stopping is not None:
        await stopping
    runs = {r['id']: r for w in case.workers for r in w.runs}
    broken = []
    for request_id, after, answer in sent:
        run = runs.get(request_id)
        case.note(
            f'{request_id}: at a worker: {run["outcome"] if run else "never"}'
        )
        if answer.complete or run is None or after <= EXCUSED_SECONDS:
            continue
        if answer.error == 'time is up':
            # Its deadline, and not the stop, has ended it.
            continue
        broken.append(
            f'{request_id}, sent {after:.1f} s after SIGTERM, was passed on '
            f'to a worker, and its channel ended: {answer.describe()}'
        )
    return broken


deployment.run(__file__, play)
