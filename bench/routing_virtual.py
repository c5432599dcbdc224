"""Runs a task in virtual time.

A run is as fast as its work, gives the same result each time, and does not
depend on what else the machine does.
"""

import collections.abc
import typing

import anyio

from tests import virtualtime


def run(
    task: collections.abc.Callable[
        ..., collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ],
    *args: object,
) -> typing.Any:
    """Run `task` in virtual time and return its result."""
    return anyio.run(
        task,
        *args,
        backend_options={'loop_factory': virtualtime.VirtualTimeLoop},
    )
