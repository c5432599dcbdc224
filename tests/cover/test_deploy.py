"""Checks of the deployment files that the platform reads."""

import pathlib
import subprocess
import tomllib

import pytest

DEPLOY = pathlib.Path(__file__).parents[2] / 'deploy'


def test_the_version_in_production_is_an_ancestor():
    deployment = tomllib.loads((DEPLOY / 'system.toml').read_text())
    result = subprocess.run(
        ['git', 'merge-base', '--is-ancestor', deployment['production'], '@'],
        cwd=DEPLOY,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, (
        'production in deploy/system.toml names a commit that is no ancestor '
        f'of this one, or the history is incomplete: {result.stderr}'
    )


def test_the_roles_serve_edge_registry_and_storage():
    roles = tomllib.loads((DEPLOY / 'system.toml').read_text())['roles']
    assert sorted(s for role in roles.values() for s in role['serves']) == [
        'edge',
        'registry',
        'storage',
    ]


@pytest.mark.parametrize(
    'path', sorted((DEPLOY / 'days').glob('*.toml')), ids=lambda p: p.stem
)
def test_a_day_file_has_its_name_and_valid_entries(path):
    document = tomllib.loads(path.read_text())
    # A file with a single day may leave out the table around it.
    (day,) = document['day'] if 'day' in document else [document]
    assert day['name'] == path.stem
    entries = [*day.get('plan', []), *day.get('faults', [])]
    assert entries
    assert all(entry['at'] >= 0 and entry['kind'] for entry in entries)
