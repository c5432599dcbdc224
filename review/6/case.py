"""A refused submission (503 at every attempt) whose items run."""

import asyncio
import pathlib
import sys

import deployment
import workers

OUTAGE_SECONDS = 4.5
BATCH = 'b0000002'
WATCH_SECONDS = 8.0


async def check(record, trouble):
    engines = [
        workers.Engine(record, name, deployment.MODEL) for name in ('e1', 'e2')
    ]
    plain = [workers.PlainWorker(record, 'p1')]
    async with deployment.Deployment(
        record, ('edge-1', 'edge-2', 'edge-3'), plain, engines
    ) as fleet:
        first = deployment.make_submission(0, 1, 1, {'ga': ['a1', 'a2']})
        if await fleet.submit('b0000001', first) != [202]:
            raise deployment.CannotRun('the first batch was not accepted')
        results = await fleet.wait_for_results(
            'edge-1', 'b0000001', lambda found: len(found) == 2, 15
        )
        if len(results) != 2:
            raise deployment.CannotRun('the first batch was not served')
        outage = []

        def fail(method, kind, name):
            if trouble and kind == 'batches' and name == BATCH and not outage:
                outage.append(asyncio.create_task(restore()))
                record('the store has done the write; it goes down now')
                fleet.store.go_down()

        async def restore():
            await asyncio.sleep(OUTAGE_SECONDS)
            await fleet.store.come_back()
            record('the store is back')

        fleet.store.after_write = fail
        batch = deployment.make_submission(1, 1, 1, {'gb': ['c1', 'c2']})
        statuses = await fleet.submit(BATCH, batch)
        for task in outage:
            await task
        await asyncio.sleep(0 if 202 in statuses else WATCH_SECONDS)
        ran = [i for e in engines for i in e.started if i in ('c1', 'c2')]
        record(f'answers to the submission: {statuses}; items run: {ran}')
        if trouble and not outage:
            raise deployment.CannotRun('the store got no write of the batch')
        if 202 in statuses:
            results = await fleet.wait_for_results(
                'edge-1', BATCH, lambda found: len(found) == 2, 15
            )
            return deployment.HELD
        refused = all(s in (408, 421, 429, 503) for s in statuses)
        return deployment.BROKEN if refused and ran else deployment.HELD


sys.exit(deployment.run(check, pathlib.Path(__file__).parent))
