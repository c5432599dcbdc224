"""Builds ``target/deps``: the dependencies and the package itself.

The dependencies are installed again if the folder was made for another
Python, kind of machine or list of dependencies, or not completely. With
``--sources``, nothing is built, and the digest of the sources is printed,
which each process logs as it starts.
"""

import compileall
import hashlib
import json
import pathlib
import platform
import py_compile
import shutil
import subprocess
import sys
import sysconfig
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
FOLDER = 'target/deps'
# Becomes FOLDER once the dependencies and the package are in it.
DRAFT_FOLDER = 'target/deps.draft'
# Becomes the package in FOLDER once it is complete.
DRAFT_PACKAGE = 'target/package.draft'
# What a draft replaces, until it is deleted.
FORMER_FOLDER = 'target/former'
STAMP_FILE = 'stamp.json'
# In the package: says which sources it was built from.
ORIGIN_FILE = 'build.json'
CONSTRAINTS_FILE = 'constraints.txt'
PROJECT_FILE = 'pyproject.toml'
PACKAGE = 'swiftjunction'
DIGEST_CHARS = 16


def read_dependencies(root: pathlib.Path) -> list[str]:
    """Return the requirements of the project."""
    project = tomllib.loads((root / PROJECT_FILE).read_text())
    return project['project']['dependencies']


def compute_stamp(root: pathlib.Path) -> str:
    """Return a text that says what a folder of dependencies is made for."""
    constraints = (root / CONSTRAINTS_FILE).read_bytes()
    return json.dumps(
        {
            'python': sys.implementation.cache_tag,
            'abi': sysconfig.get_config_var('SOABI'),
            'machine': platform.machine(),
            'constraints': hashlib.sha256(constraints).hexdigest(),
            'dependencies': read_dependencies(root),
        },
        indent=2,
    )


def is_current(folder: pathlib.Path, stamp: str) -> bool:
    """Return whether a folder has this stamp, and thus is complete."""
    try:
        return (folder / STAMP_FILE).read_text() == stamp
    except (OSError, UnicodeDecodeError):
        return False


def install_dependencies(root: pathlib.Path, stamp: str) -> None:
    """Install dependencies and package into a folder that replaces the old.

    Raises
    ------
    CalledProcessError
        If pip fails; the folder then stays as it was.
    """
    draft = root / DRAFT_FOLDER
    shutil.rmtree(draft, ignore_errors=True)
    subprocess.run(
        [
            *(sys.executable, '-m', 'pip', 'install'),
            *('--quiet', '--disable-pip-version-check'),
            *('--target', str(draft)),
            *('--constraint', str(root / CONSTRAINTS_FILE)),
            *read_dependencies(root),
        ],
        check=True,
        cwd=root,
    )
    copy_package(root, draft / PACKAGE)
    (draft / STAMP_FILE).write_text(stamp)
    replace_folder(root, root / FOLDER, draft)


def install_package(root: pathlib.Path, stamp: str) -> None:
    """Replace the package by a new copy, between two states that are valid."""
    draft = root / DRAFT_PACKAGE
    shutil.rmtree(draft, ignore_errors=True)
    copy_package(root, draft)
    stamp_file = root / FOLDER / STAMP_FILE
    # Without it, a build that was interrupted here is done anew.
    stamp_file.unlink()
    replace_folder(root, root / FOLDER / PACKAGE, draft)
    stamp_file.write_text(stamp)


def compute_digest(root: pathlib.Path) -> str:
    """Return a digest of the names and contents of the package's sources."""
    sources = root / 'src' / PACKAGE
    digest = hashlib.sha256()
    for path in sorted(sources.rglob('*.py')):
        name = path.relative_to(sources).as_posix()
        digest.update(f'{name} {path.stat().st_size}\n'.encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()[:DIGEST_CHARS]


def find_commit(root: pathlib.Path) -> str:
    """Return the commit that is checked out; empty if that is not known."""
    try:
        return subprocess.run(
            ['git', 'rev-parse', 'HEAD'],
            cwd=root,
            check=True,
            capture_output=True,
            text=True,
        ).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return ''


def copy_package(root: pathlib.Path, folder: pathlib.Path) -> None:
    """Copy the package and compile it, as roles may not write there."""
    shutil.copytree(
        root / 'src' / PACKAGE,
        folder,
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    origin = {'commit': find_commit(root), 'sources': compute_digest(root)}
    (folder / ORIGIN_FILE).write_text(json.dumps(origin))
    print('built', json.dumps(origin))
    compileall.compile_dir(
        folder,
        ddir=str(root / FOLDER / PACKAGE),
        quiet=1,
        # Stays valid if the folder is moved or copied.
        invalidation_mode=py_compile.PycInvalidationMode.CHECKED_HASH,
    )


def replace_folder(
    root: pathlib.Path, folder: pathlib.Path, draft: pathlib.Path
) -> None:
    """Replace a folder by its draft; it is missing between two renames."""
    former = root / FORMER_FOLDER
    shutil.rmtree(former, ignore_errors=True)
    if folder.exists():
        folder.rename(former)
    draft.rename(folder)
    shutil.rmtree(former, ignore_errors=True)


def build(root: pathlib.Path) -> None:
    """Make ``target/deps`` complete for this Python and kind of machine."""
    stamp = compute_stamp(root)
    if is_current(root / FOLDER, stamp):
        print('the dependencies are current')
        install_package(root, stamp)
    else:
        print('installing the dependencies')
        install_dependencies(root, stamp)


if __name__ == '__main__':
    if sys.argv[1:] == ['--sources']:
        print(compute_digest(ROOT))
        sys.exit()
    try:
        build(ROOT)
    except subprocess.CalledProcessError as error:
        sys.exit(error.returncode)
