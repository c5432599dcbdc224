"""Batch submissions and their results, as they stand on the wire."""

import base64
import binascii

import msgspec

from swiftjunction import batches
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction import routes


class _Scorer(msgspec.Struct):
    id: str
    host: str
    path: str
    body: str = ''


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ''
    tokens: int = 0
    group: str = ''
    scorer: _Scorer | None = None


class _Submission(msgspec.Struct):
    items: list[_Item]
    model: str = ''
    step: int = 0
    min_version: int = 0
    target_groups: int = 0


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str
    versions: list[int]
    score: str


class _Results(msgspec.Struct):
    total: int
    # The position behind the last result of this answer.
    next_token: int
    results: list[_Result]


def decode_submission(
    body: bytes, batch_id: str, route: routes.Route, service: str
) -> batches.Batch:
    """Return the batch of a submission.

    Raises
    ------
    RequestInvalid
        If it cannot be read; the message names the field.
    """
    try:
        submission = msgspec.json.decode(body, type=_Submission)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.RequestInvalid(
            f'batch not understood: {error}', step='submit'
        ) from error
    if not batch_id:
        raise errors.RequestInvalid(
            f'{_names.ATTEMPT_ID} is missing', step='submit'
        )
    return batches.Batch(
        batch_id=batch_id,
        route=route.name,
        host=route.host,
        service=service,
        total=len(submission.items),
        items=[_convert_item(item) for item in submission.items],
        model=submission.model,
        step=submission.step,
        min_version=submission.min_version,
        single_version=route.single_version,
        wanted_groups=submission.target_groups,
        due_seconds=route.due_seconds,
        max_age_seconds=route.max_age_seconds,
        max_attempts=route.max_attempts,
    )


def _convert_item(item: _Item) -> batches.Item:
    headers = {name.lower(): value for name, value in item.headers.items()}
    scorer = None
    if item.scorer is not None:
        scorer = batches.ScoreRequest(
            item.scorer.id,
            item.scorer.host,
            item.scorer.path,
            _decode_body(item.scorer.body, item.scorer.id),
        )
    return batches.Item(
        item_id=item.id,
        target=item.path,
        headers=list(item.headers.items()),
        body=_decode_body(item.body, item.id),
        group=item.group or item.id,
        tokens=item.tokens,
        expected_tokens=_read_expected(headers, item.tokens),
        scorer=scorer,
    )


def _read_expected(headers: dict[str, str], tokens: int) -> float:
    """Return the expected length of an answer: the hint, else the bound."""
    try:
        return float(headers[_names.LENGTH_HINT])
    except (KeyError, ValueError):
        return float(tokens)


def _decode_body(text: str, item_id: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise errors.RequestInvalid(
            f'body of {item_id} is not base64: {error}', step='submit'
        ) from error


def encode_page(page: batches.ResultPage) -> bytes:
    """Return a page of results as the answer to a reader."""
    results = [
        _Result(
            result.item_id,
            'completed' if result.complete else 'abandoned',
            result.text,
            result.versions,
            result.score,
        )
        for result in page.results
    ]
    return msgspec.json.encode(
        _Results(page.total, page.next_position, results)
    )
