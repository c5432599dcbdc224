"""A late second copy of a reward answer becomes the score of a newer text."""

import asyncio
import pathlib
import sys

import deployment
import workers

ITEM = 'c1'
SCORER = 'scorec1'
EVENT_SECONDS = 0.045
# From the sheet: all results are due after this time.
DUE_SECONDS = 7.5
TRAINING_SECONDS = 0.5
# The longest one takes longer than a step may.
LENGTHS = {'a1': 3, 'a2': 4, 'c1': 8, 'd1': 190}


def plan(item_id):
    return LENGTHS.get(item_id, 30), EVENT_SECONDS


def find(results, item_id):
    return next((r for r in results if r['id'] == item_id), None)


async def check(record, trouble):
    engines = [
        workers.Engine(record, name, deployment.MODEL, plan)
        for name in ('e1', 'e2', 'e3')
    ]
    plain = workers.PlainWorker(
        record,
        'p1',
        lambda request_id, run: trouble and (request_id, run) == (SCORER, 1),
    )
    async with deployment.Deployment(
        record, ('edge-1', 'edge-2'), [plain], engines
    ) as fleet:

        def name_version(version):
            record(f'the trainer names version {version}')
            fleet.store.put(
                'versions',
                deployment.MODEL,
                {'model': deployment.MODEL, 'version': version},
            )

        async def run_step(number, min_version, groups):
            """Ask for a step, wait for its groups or its deadline, end it."""
            batch_id = f'b000000{number}'
            submission = deployment.make_submission(
                number, min_version, 2, groups
            )
            if 202 not in await fleet.submit(batch_id, submission):
                raise deployment.CannotRun('a batch was not accepted')
            results = await fleet.wait_for_results(
                'edge-1',
                batch_id,
                lambda found: len(found) == len(submission['items']),
                DUE_SECONDS,
            )
            await fleet.end('edge-1', batch_id)
            result = find(results, ITEM)
            record(f'step {number} has {ITEM}: {result}')
            if result is None:
                raise deployment.CannotRun(f'step {number} lacks {ITEM}')
            return result

        # Step 2 allows version 1, which an engine runs until it is ordered to
        # load version 2.
        name_version(2)
        first = await run_step(
            2, 1, {'ga': ['a1', 'a2'], 'gc': ['c1', 'd1']}
        )
        await asyncio.sleep(TRAINING_SECONDS)
        # The group that was not complete comes again, and first.
        name_version(3)
        second = await run_step(
            3, 2, {'gc': ['c1', 'd1'], 'ge': ['e1', 'e2']}
        )
        made = [e.made[ITEM] for e in engines if ITEM in e.made]
        last = max(t for events in made for t, _ in events.values())
        if first['versions'] == second['versions']:
            raise deployment.CannotRun('the text was not made again')
        arrived = plain.arrived_at.get(second['score'])
        record(
            f'the last event of its text was made at {last:.3f}; the reward '
            f'call of its score {second["score"]} arrived at '
            f'{arrived and format(arrived, ".3f")}'
        )
        if arrived is None or arrived < last:
            return deployment.BROKEN
        return deployment.HELD


sys.exit(deployment.run(check, pathlib.Path(__file__).parent))
