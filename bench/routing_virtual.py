"""Runs a task in virtual time.

A run takes only the time of its computations, and its result depends neither
on the speed of the machine nor on other load.
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
    """Return the result of `task`, run in virtual time with `args`."""
    return anyio.run(
        task,
        *args,
        backend_options={'loop_factory': virtualtime.VirtualTimeLoop},
    )
