"""Builds ``target/deps``: the dependencies and the package itself.

The dependencies are installed again if the folder was made for another
Python, kind of machine or list of dependencies, or not completely.
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
# Becomes FOLDER once all dependencies are in it.
DRAFT_FOLDER = 'target/deps.draft'
STAMP_FILE = 'stamp.json'
CONSTRAINTS_FILE = 'constraints.txt'
PROJECT_FILE = 'pyproject.toml'
PACKAGE = 'swiftjunction'


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
    """Install the dependencies into a new folder that replaces the old one.

    Raises
    ------
    CalledProcessError
        If pip fails; the folder then has no stamp, or its former one.
    """
    draft = root / DRAFT_FOLDER
    folder = root / FOLDER
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
    (draft / STAMP_FILE).write_text(stamp)
    (folder / STAMP_FILE).unlink(missing_ok=True)
    if folder.exists():
        shutil.rmtree(folder)
    draft.rename(folder)


def install_package(root: pathlib.Path) -> None:
    """Copy the package and compile it, as roles may not write there."""
    folder = root / FOLDER / PACKAGE
    if folder.exists():
        shutil.rmtree(folder)
    shutil.copytree(
        root / 'src' / PACKAGE,
        folder,
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    compileall.compile_dir(
        folder,
        quiet=1,
        # Stays valid if the folder is copied, which changes file times.
        invalidation_mode=py_compile.PycInvalidationMode.CHECKED_HASH,
    )


def build(root: pathlib.Path) -> None:
    """Make ``target/deps`` complete for this Python and kind of machine."""
    stamp = compute_stamp(root)
    if is_current(root / FOLDER, stamp):
        print('the dependencies are current')
    else:
        print('installing the dependencies')
        install_dependencies(root, stamp)
    install_package(root)


if __name__ == '__main__':
    try:
        build(ROOT)
    except subprocess.CalledProcessError as error:
        sys.exit(error.returncode)
