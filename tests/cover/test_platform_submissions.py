"""Batch submissions of which an item cannot be sent or stored."""

import pytest

from tests import platform_deployment

NESTED_LEVELS = 6000
HINT = 'Swiftjunction-Length-Hint'
# Each replaces fields of an item that is otherwise sound.
ODD_ITEMS = {
    'an id outside Latin-1': {'id': 'a\u0219'},
    'an id with a line break': {'id': 'a\r\nx: y'},
    'an id with a space at its end': {'id': 'a '},
    'an empty id': {'id': ''},
    'a path outside ASCII': {'path': '/samples/\u0219'},
    'a path without a slash': {'path': 'samples/a'},
    'a path with a space': {'path': '/samples/a b'},
    'a path with a line break': {'path': '/samples/a\r\nx: y'},
    'a path with a fragment': {'path': '/samples/a#b'},
    'a long path': {'path': '/samples/' + 'a' * 70_000},
    'a value outside Latin-1': {'headers': {'x-note': 'Ia\u0219i'}},
    'a value with a line break': {'headers': {'x-note': 'a\r\nb: c'}},
    'a value with a null character': {'headers': {'x-note': 'a\0'}},
    'a value with a space at its end': {'headers': {'x-note': 'a '}},
    'a name outside Latin-1': {'headers': {'x-\u0219': 'a'}},
    'a name with a space': {'headers': {'x note': 'a'}},
    'an empty name': {'headers': {'': 'a'}},
    'a length of its own': {'headers': {'Content-Length': '3'}},
    'a coding of its own': {'headers': {'Transfer-Encoding': 'chunked'}},
    'a host of its own': {'headers': {'Host': 'other.example'}},
    'an infinite hint': {'headers': {HINT: 'inf'}},
    'a hint that is no number': {'headers': {HINT: 'nan'}},
    'a negative hint': {'headers': {HINT: '-1'}},
    'a huge hint': {'headers': {HINT: '1e300'}},
    'a hint out of range': {'headers': {HINT: '1e999'}},
    'negative tokens': {'tokens': -1},
    'huge tokens': {'tokens': 10**400},
}
ODD_SCORERS = {
    'an id outside Latin-1': {'id': 'a\u0219'},
    'an id with a line break': {'id': 'a\nb'},
    'an empty id': {'id': ''},
    'a host outside Latin-1': {'host': '\u0219.example'},
    'a path outside ASCII': {'path': '/plain/\u0219'},
    'a path without a slash': {'path': 'plain/score'},
}


def change_item(**fields):
    """Return a submission of which the second item has these fields."""
    submission = platform_deployment.make_batch()
    submission['items'][1].update(fields)
    return submission


@pytest.mark.anyio
async def test_samples_that_cannot_be_submitted_are_refused(tmp_path):
    # Accepted, they would be items that no server can get.
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    submissions = {
        **{name: change_item(**item) for name, item in ODD_ITEMS.items()},
        **{
            f'scorer: {name}': change_item(
                scorer={
                    **platform_deployment.make_batch()['items'][1]['scorer'],
                    **scorer,
                }
            )
            for name, scorer in ODD_SCORERS.items()
        },
    }
    async with deployment.run():
        answers = {
            name: await deployment.submit('vm-1', 'b1', submission)
            for name, submission in submissions.items()
        }
        found = await deployment.read_results('vm-1', 'b1')
    refused = {
        name: answer.status_code
        for name, answer in answers.items()
        if answer.status_code != 400
        or 'items[1]' not in answer.json()['message']
    }
    assert refused == {}
    assert found.status_code == 404


@pytest.mark.anyio
async def test_a_deeply_nested_submission_is_refused(tmp_path):
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    nested = '[' * NESTED_LEVELS + ']' * NESTED_LEVELS
    bodies = [
        nested,
        f'{{"items": [], "notes": {nested}}}',
        f'{{"items": [{{"id": "a", "path": "/a", "notes": {nested}}}]}}',
    ]
    async with deployment.run():
        statuses = [
            (
                await deployment.send_request(
                    'vm-1',
                    'POST',
                    '/samples/new',
                    content=body.encode(),
                    headers={'swiftjunction-attempt-id': 'b1'},
                )
            ).status_code
            for body in bodies
        ]
    assert statuses == [400, 400, 400]
