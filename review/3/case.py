"""A batch with a length hint that is no finite number is lost at once."""

import asyncio
import time

import deployment
import trainer
import web
import workers

EVENTS = 20
FINISH_SECONDS = 10.0
SETTLE_SECONDS = 1.0
LAST_READS = 8
HINT = 'Swiftjunction-Length-Hint'


async def read_body(case, batch, vm):
    """Request the body of the first item that is not listed."""
    listed = {r['id'] for r in batch.results}
    item = next(i for i in batch.items if i['id'] not in listed)
    return await web.call(
        vm.get_address('front'),
        'GET',
        f'/items/{batch.id}?id={item["id"]}',
        [('Host', deployment.HOST)],
        timeout=3.0,
    )


async def play(case):
    for n in range(3):
        case.workers.append(
            workers.EngineWorker(
                case.store,
                case.make_ip(100 + n),
                f'i-engine-{n}',
                trainer.ENGINES,
                deployment.ZONES[n],
                model=trainer.MODEL,
                events=EVENTS,
            )
        )
        case.workers.append(
            workers.PlainWorker(
                case.store,
                case.make_ip(110 + n),
                f'i-scorer-{n}',
                trainer.SCORERS,
                deployment.ZONES[n],
            )
        )
    await case.start(
        3,
        deployment.make_config(
            1, trainer.make_routes(), trainer.make_services()
        ),
    )
    # Of one item of eight the trainer has no estimate.
    hints = ['inf' if case.trouble else '40', *['40'] * 7]
    batch = trainer.Batch(
        case,
        'step-1',
        1,
        [
            trainer.make_item('step-1', n // 4, n % 4, {HINT: hint})
            for n, hint in enumerate(hints)
        ],
    )
    await batch.submit(case.vms)
    if not batch.accepted:
        case.note('the submission was not accepted: nothing is owed')
        return []
    await batch.read_until(
        case.vms, batch.submitted_at + trainer.DUE_SECONDS + FINISH_SECONDS
    )
    # The day has ended: it is read from the start, again after each failure.
    readable = False
    for number in range(LAST_READS):
        vm = case.vms[number % len(case.vms)]
        answer = await batch.read(vm, after=0)
        case.note(
            f'read from the start at {vm.name}: {answer.describe()} '
            f'{answer.body[:160].decode()}'
        )
        if answer.status == 200:
            readable = True
            break
        await asyncio.sleep(trainer.READ_SECONDS)
    broken = []
    runs = sum(
        len(w.runs) for w in case.workers if w.service == trainer.ENGINES
    )
    case.note(f'{runs} runs of its items at workers')
    if not readable:
        broken.append(
            'an accepted batch submission cannot be read at the end: '
            f'{LAST_READS} reads failed, {runs} runs of its items'
        )
    if len(batch.results) < len(batch.items):
        answer = await read_body(case, batch, case.vms[0])
        case.note(f'body of an item that is not listed: {answer.describe()}')
        if answer.status != 200:
            broken.append('an item that is not listed does not give its body')
    await batch.end(case.vms[0])
    return broken


deployment.run(__file__, play)
