"""The build command of ``deploy/system.toml``, with a stand-in for pip."""

import json
import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

import pytest

from swiftjunction.platform import _builds

ROOT = pathlib.Path(__file__).parents[2]
BUILD_TIMEOUT_SECONDS = 60
# Installs two modules, or ends in between.
PIP = """
import os
import pathlib
import sys

arguments = sys.argv[1:]
target = pathlib.Path(arguments[arguments.index('--target') + 1])
target.mkdir(parents=True, exist_ok=True)
(target / 'first.py').touch()
if os.environ.get('FAILS'):
    sys.exit(3)
if os.environ.get('IS_KILLED'):
    os.kill(os.getppid(), 9)
    sys.exit(3)
(target / 'second.py').touch()
with open('installations', 'a') as log:
    log.write('installed\\n')
"""
# Lets the build find itself on another machine or Python.
CUSTOMIZATION = """
import os
import platform
import sys
import sysconfig

if 'MACHINE' in os.environ:
    platform.machine = lambda: os.environ['MACHINE']
if 'CACHE_TAG' in os.environ:
    sys.implementation.cache_tag = os.environ['CACHE_TAG']
if 'SOABI' in os.environ:
    sysconfig.get_config_vars()['SOABI'] = os.environ['SOABI']
"""
PROJECT = '[project]\ndependencies = ["first>=1", "second"]\n'


class Checkout:
    """A checkout with the build of this one and a package of one file."""

    def __init__(self, root):
        self.root = root
        self.deps = root / 'target/deps'
        self._tools = root / 'tools'
        (root / 'src/swiftjunction').mkdir(parents=True)
        (root / 'src/swiftjunction/__init__.py').touch()
        (root / 'constraints.txt').write_text('first==1.0\n')
        (root / 'pyproject.toml').write_text(PROJECT)
        shutil.copytree(ROOT / 'deploy', root / 'deploy')
        (self._tools / 'pip').mkdir(parents=True)
        # Without this file, Python would find the real one.
        (self._tools / 'pip/__init__.py').touch()
        (self._tools / 'pip/__main__.py').write_text(PIP)
        (self._tools / 'sitecustomize.py').write_text(CUSTOMIZATION)

    def build(self, **variables):
        """Run the build command; return its exit code."""
        deploy = tomllib.loads((self.root / 'deploy/system.toml').read_text())
        folders = [str(pathlib.Path(sys.executable).parent), '/usr/bin:/bin']
        return subprocess.run(
            deploy['build'],
            shell=True,
            cwd=self.root,
            env={
                'PATH': os.pathsep.join(folders),
                'PYTHONPATH': str(self._tools),
                **variables,
            },
            timeout=BUILD_TIMEOUT_SECONDS,
        ).returncode

    def count_installations(self):
        log = self.root / 'installations'
        return len(log.read_text().split()) if log.exists() else 0

    def is_complete(self):
        names = ['first.py', 'second.py', 'swiftjunction/__init__.py']
        return all((self.deps / name).exists() for name in names)


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def test_a_second_build_installs_nothing(checkout):
    assert checkout.build() == 0
    assert checkout.is_complete()
    assert checkout.build() == 0
    assert checkout.is_complete()
    assert checkout.count_installations() == 1


def test_a_build_copies_the_package_as_it_is(checkout):
    checkout.build()
    package = checkout.root / 'src/swiftjunction'
    (package / '__init__.py').write_text('CHANGED = 1\n')
    (package / 'new.py').touch()
    checkout.build()
    (package / 'new.py').unlink()
    checkout.build()
    copied = checkout.deps / 'swiftjunction'
    assert (copied / '__init__.py').read_text() == 'CHANGED = 1\n'
    assert not (copied / 'new.py').exists()


def test_a_build_says_from_which_sources_it_was_made(checkout):
    def read_digest():
        text = (checkout.deps / 'swiftjunction/build.json').read_text()
        return json.loads(text)['sources']

    def print_digest():
        command = [sys.executable, 'deploy/build.py', '--sources']
        return subprocess.check_output(
            command, cwd=checkout.root, text=True
        ).strip()

    checkout.build()
    first = read_digest()
    assert first == print_digest()
    (checkout.root / 'src/swiftjunction/__init__.py').write_text('X = 1\n')
    # The build was not repeated, so that the former package still runs.
    assert read_digest() == first != print_digest()
    checkout.build()
    assert read_digest() == print_digest()


def test_a_package_without_a_build_file_names_no_sources(tmp_path):
    path = tmp_path / 'build.json'
    assert _builds.read_origin(path) == _builds.BuildOrigin()
    path.write_text('{"commit": "c", "sources": "s"}')
    assert _builds.read_origin(path) == _builds.BuildOrigin('c', 's')
    path.write_text('[')
    assert _builds.read_origin(path) == _builds.BuildOrigin()


@pytest.mark.parametrize(
    'variables',
    [
        {'MACHINE': 'another'},
        {'CACHE_TAG': 'cpython-399'},
        {'SOABI': 'cpython-311-another-linux-gnu'},
    ],
    ids=['machine', 'Python', 'ABI'],
)
def test_a_folder_of_another_kind_is_replaced(checkout, variables):
    assert checkout.build(**variables) == 0
    (checkout.deps / 'of_another_kind.so').touch()
    assert checkout.build() == 0
    assert checkout.count_installations() == 2
    assert checkout.is_complete()
    assert not (checkout.deps / 'of_another_kind.so').exists()


@pytest.mark.parametrize(
    ('file', 'content'),
    [
        ('constraints.txt', 'first==1.1\n'),
        ('pyproject.toml', PROJECT.replace('"second"', '"second", "third"')),
    ],
)
def test_changed_requirements_are_installed(checkout, file, content):
    checkout.build()
    path = checkout.root / file
    times = path.stat()
    path.write_text(content)
    # An older file, as that of another commit may be.
    os.utime(path, ns=(times.st_atime_ns, times.st_mtime_ns))
    (checkout.deps / 'of_former_requirements.py').touch()
    assert checkout.build() == 0
    assert checkout.count_installations() == 2
    assert not (checkout.deps / 'of_former_requirements.py').exists()


@pytest.mark.parametrize('variable', ['FAILS', 'IS_KILLED'])
@pytest.mark.parametrize('has_former', [False, True])
def test_an_interrupted_build_is_not_taken_for_complete(
    checkout, variable, has_former
):
    if has_former:
        checkout.build(MACHINE='another')
    before = checkout.count_installations()
    assert checkout.build(**{variable: '1'}) != 0
    assert checkout.count_installations() == before
    assert checkout.build() == 0
    assert checkout.count_installations() == before + 1
    assert checkout.is_complete()


def test_a_folder_of_an_older_build_is_replaced(checkout):
    # It has a stamp without content, newer than constraints.txt.
    checkout.deps.mkdir(parents=True)
    (checkout.deps / '.installed').touch()
    (checkout.deps / 'unknown.so').touch()
    assert checkout.build() == 0
    assert checkout.is_complete()
    assert not (checkout.deps / 'unknown.so').exists()


@pytest.mark.parametrize('content', [b'', b'{"python"', b'\xff\xfe'])
def test_a_spoiled_stamp_is_not_taken_for_complete(checkout, content):
    checkout.build()
    for stamp in checkout.deps.glob('*stamp*'):
        stamp.write_bytes(content)
    assert checkout.build() == 0
    assert checkout.count_installations() == 2


@pytest.mark.parametrize('constraints', ['first==1.0\n', 'first==1.1\n'])
def test_a_build_whose_copy_fails_leaves_the_former_package(
    checkout, constraints
):
    checkout.build()
    (checkout.deps / 'former.py').touch()
    (checkout.root / 'constraints.txt').write_text(constraints)
    package = checkout.root / 'src/swiftjunction'
    (package / '__init__.py').write_text('CHANGED = 1\n')
    broken = package / 'broken.py'
    broken.symlink_to('missing')
    assert checkout.build() != 0
    assert checkout.is_complete()
    copied = checkout.deps / 'swiftjunction/__init__.py'
    assert copied.read_text() == ''
    assert (checkout.deps / 'former.py').exists()
    broken.unlink()
    assert checkout.build() == 0
    assert copied.read_text() == 'CHANGED = 1\n'


def test_a_build_leaves_no_drafts(checkout):
    checkout.build()
    checkout.build()
    assert [path.name for path in checkout.deps.parent.iterdir()] == ['deps']
