"""Reports of engines on their weights and orders."""

import msgspec

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction.platform.servers import _responses


class _Model(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    models: list[_Model] = []
    busy: bool = False
    # Number of orders that the engine has accepted.
    sequence: int = 0
    born: int = 0


def parse_report(
    body: bytes, server: backends.BackendServer
) -> batches.EngineReport:
    """Return the report of an engine.

    Raises
    ------
    AnswerBroken
        If it is invalid.
    """
    try:
        report = decoding.decode_json(body, _Report)
    except errors.ContentBroken as error:
        raise _responses.build_response_error(
            f'invalid report: {error}', server
        ) from error
    return batches.EngineReport(
        {model.name: model.version for model in report.models},
        report.busy,
        report.sequence,
        report.born,
    )
