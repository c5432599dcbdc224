"""One item header outside Latin-1 ends the process that runs batches."""

import asyncio
import time

import deployment
import trainer
import workers

ENGINE_COUNT = 3
# A text takes 5 s, so that the step is running when the other one comes.
EVENTS = 250
EVENT_SECONDS = 0.02
# DEPLOY.md: a process that exits is restarted after a short delay.
RESTART_SECONDS = 0.5
IDLE_SECONDS = 5.0
CREW_NOTE = {'X-Crew-Note': 'Cluj - Iași'}
PLAIN_NOTE = {'X-Crew-Note': 'Cluj - Iasi'}


async def restart_ended(play, ends):
    """Start each process again that ended by itself."""
    while True:
        await asyncio.sleep(0.05)
        for vm in play.vms:
            if vm.process.poll() is None:
                continue
            lines = [x for x in vm.read_log().splitlines() if 'Error' in x]
            ends.append(vm.name)
            play.note(
                f'{vm.name} ended by itself with {vm.process.returncode}: '
                f'{lines[-1].strip(" |") if lines else "no reason logged"}'
            )
            await asyncio.sleep(RESTART_SECONDS)
            play.start_vm(vm)


def find_idle_seconds(engines, item_id, end):
    """Return for how long an item has been at no worker before `end`.

    None if a worker has finished it, or none ever ran it.
    """
    runs = [r for e in engines for r in e.runs if r['id'] == item_id]
    if not runs or any(r['outcome'] == 'answered' for r in runs):
        return None
    return end - max(r['ended'] or end for r in runs)


async def play(case):
    engines = [
        workers.EngineWorker(
            case.store,
            case.make_ip(100 + n),
            f'i-engine-{n}',
            trainer.ENGINES,
            deployment.ZONES[n],
            model=trainer.MODEL,
            events=EVENTS,
            event_seconds=EVENT_SECONDS,
        )
        for n in range(ENGINE_COUNT)
    ]
    scorers = [
        workers.PlainWorker(
            case.store,
            case.make_ip(110 + n),
            f'i-scorer-{n}',
            trainer.SCORERS,
            deployment.ZONES[n],
        )
        for n in range(ENGINE_COUNT)
    ]
    case.workers += [*engines, *scorers]
    await case.start(
        4,
        deployment.make_config(
            1, trainer.make_routes(), trainer.make_services()
        ),
    )
    # No version is named: all workers have the one that they start with.
    ends = []
    restarting = asyncio.ensure_future(restart_ended(case, ends))
    note = CREW_NOTE if case.trouble else PLAIN_NOTE
    step = trainer.Batch(
        case,
        'step-1',
        1,
        [
            trainer.make_item('step-1', g, n)
            for g in range(3)
            for n in range(4)
        ],
    )
    other = trainer.Batch(
        case,
        'step-2',
        2,
        [trainer.make_item('step-2', 0, n, note) for n in range(4)],
    )
    await step.submit(case.vms)
    await asyncio.sleep(1.0)
    case.note(f'step-1: {sum(e.running for e in engines)} items run')
    await other.submit(case.vms[1:])
    due = step.submitted_at + trainer.DUE_SECONDS
    await step.read_until(case.vms, due)
    broken = []
    for item in step.items:
        seconds = find_idle_seconds(engines, item['id'], due)
        if seconds is not None:
            case.note(
                f'{item["id"]}: at no worker for the last {seconds:.2f} s'
            )
        if seconds is not None and seconds >= IDLE_SECONDS:
            broken.append(
                f'{item["id"]} had been at no worker for {seconds:.2f} s when '
                'its step ran out of time'
            )
    await other.read_until(case.vms, time.monotonic() + 3.0)
    restarting.cancel()
    case.note(f'{len(ends)} times a process ended by itself: {ends}')
    return broken


deployment.run(__file__, play)
