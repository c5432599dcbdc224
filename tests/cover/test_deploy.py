"""Checks of the deployment files that the platform reads."""

import pathlib
import tomllib

import pytest

DEPLOY = pathlib.Path(__file__).parents[2] / 'deploy'


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
