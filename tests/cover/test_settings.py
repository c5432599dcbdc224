import pytest

from swiftjunction import errors
from swiftjunction import settings

VALID_SETTINGS = """
[vm]
name = "entry-1"
ip = "127.0.0.1"
data_center = "cluj-1"
region = "ro-central"

[platform]
objects = "http://127.0.0.1:9001"
vms = "http://127.0.0.1:9002"
weights = "http://127.0.0.1:9003"
"""


def write(tmp_path, text):
    path = tmp_path / 'vm.toml'
    path.write_text(text)
    return str(path)


def test_missing_keys_have_default_values(tmp_path):
    found = settings.read_settings(write(tmp_path, VALID_SETTINGS))
    assert found.vm.name == 'entry-1'
    assert found.entry.port == 8080


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (VALID_SETTINGS + '[entry]\nprot = 1', 'entry.prot = 1: unknown key'),
        (
            VALID_SETTINGS + '[entry]\nport = "x"',
            "entry.port = 'x': expected `int`",
        ),
        (VALID_SETTINGS + '[entry]\nport = 70000', 'entry.port = 70000'),
        (
            VALID_SETTINGS + '[entry]\nport = 8070',
            'conductor.port = 8070: already',
        ),
        (VALID_SETTINGS + '[spool]\nport = 1', 'spool.folder: missing'),
        (
            VALID_SETTINGS + '[extra]\na = 1',
            'unknown key; allowed are conductor',
        ),
        (VALID_SETTINGS + '[logs]\nlevel = "LOUD"', "logs.level = 'LOUD'"),
        (
            VALID_SETTINGS.replace('127.0.0.1"\nd', 'host"\nd'),
            "vm.ip = 'host'",
        ),
        (
            VALID_SETTINGS.replace('http://127.0.0.1:9001', 'x'),
            "objects = 'x'",
        ),
        (VALID_SETTINGS.replace('name = "entry-1"', ''), 'vm.name: missing'),
        ('[vm', 'not TOML'),
        ('entry = 3' + VALID_SETTINGS, 'entry = 3: must be a table'),
    ],
)
def test_a_problem_is_reported_with_file_key_and_value(
    tmp_path, text, expected
):
    path = write(tmp_path, text)
    with pytest.raises(errors.SettingsError) as caught:
        settings.read_settings(path)
    assert len(caught.value.problems) == 1
    assert caught.value.problems[0].startswith(f'{path}: ')
    assert expected in caught.value.problems[0]


def test_all_problems_are_reported(tmp_path):
    text = VALID_SETTINGS + '[entry]\nport = -1\nlink_port = "x"\nfoo = 1'
    with pytest.raises(errors.SettingsError) as caught:
        settings.read_settings(write(tmp_path, text))
    assert len(caught.value.problems) == 3


def test_a_missing_file_is_named():
    with pytest.raises(errors.SettingsError, match='cannot be read'):
        settings.read_settings('/nowhere/vm.toml')
