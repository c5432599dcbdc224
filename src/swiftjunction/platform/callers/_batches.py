"""Wire format of batch submissions and their results."""

import base64
import binascii
import typing

import msgspec

from swiftjunction import batches
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction.platform.callers import _item_checks
from swiftjunction.platform.callers import _keys
from swiftjunction import routes


_Tokens = typing.Annotated[int, msgspec.Meta(ge=0, le=batches.MAX_TOKENS)]
# Those between this process and the next one alone.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'upgrade',
    }
)


class _ScoreRequest(msgspec.Struct):
    id: str
    host: str
    path: str
    body: str = ''


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ''
    tokens: _Tokens = 0
    group: str = ''
    scorer: _ScoreRequest | None = None


class _Submission(msgspec.Struct):
    items: list[_Item]
    model: str = ''
    step: decoding.Count = 0
    min_version: decoding.Count = 0
    target_groups: decoding.Count = 0


class _SampleResult(msgspec.Struct):
    id: str
    state: str
    text: str
    versions: list[int]
    score: str


class _ResultsPage(msgspec.Struct):
    total: int
    # Position after the last result of this page.
    next_token: int
    results: list[_SampleResult]


def decode_submission(
    body: bytes,
    batch_id: str,
    route: routes.Route,
    service: str,
    caller: _keys.Caller | None = None,
) -> batches.Batch:
    """Decode a batch submission.

    Parameters
    ----------
    caller : Caller, optional
        To whose organisation the batch belongs.

    Raises
    ------
    RequestInvalid
        If the submission is malformed, in which case the message names the
        field or the item, or if `batch_id` is empty.
    """
    try:
        submission = decoding.decode_json(body, _Submission)
    except errors.ContentBroken as error:
        raise errors.RequestInvalid(
            f'invalid batch submission: {error.message}', step='submit'
        ) from error
    if not batch_id:
        raise errors.RequestInvalid(
            f'missing header {_names.ATTEMPT_ID_HEADER}', step='submit'
        )
    caller = caller or _keys.Caller()
    return batches.Batch(
        batch_id=batch_id,
        route=route.name,
        host=route.host,
        service=service,
        total=len(submission.items),
        samples=[
            _convert_item(position, item, caller.removed_headers)
            for position, item in enumerate(submission.items)
        ],
        model=submission.model,
        step=submission.step,
        min_version=submission.min_version,
        single_version=route.single_version,
        wanted_groups=submission.target_groups,
        due_seconds=route.due_seconds,
        max_age_seconds=route.max_age_seconds,
        max_attempts=route.max_attempts,
        organisation=caller.organisation,
    )


def _check_item(position: int, item: _Item) -> None:
    """Raise ``RequestInvalid`` if a field of an item cannot be sent."""
    check = _item_checks.ItemCheck(position, item.id)
    check.check_id('id', item.id)
    check.check_target('path', item.path)
    check.check_headers(item.headers)
    check.check_hint(item.headers)
    if item.scorer is not None:
        check.check_id('scorer.id', item.scorer.id)
        check.check_value('scorer.host', item.scorer.host)
        check.check_target('scorer.path', item.scorer.path)


def _convert_item(
    position: int, item: _Item, removed_headers: frozenset[str]
) -> batches.Sample:
    _check_item(position, item)
    headers = {name.lower(): value for name, value in item.headers.items()}
    score_request = None
    if item.scorer is not None:
        score_request = batches.ScoreRequest(
            item.scorer.id,
            item.scorer.host,
            item.scorer.path,
            _decode_body(item.scorer.body, item.scorer.id),
        )
    return batches.Sample(
        sample_id=item.id,
        request_path=item.path,
        headers=[
            (name, value)
            for name, value in item.headers.items()
            if name.lower() not in removed_headers
            and name.lower() not in _HOP_BY_HOP_HEADERS
        ],
        body=_decode_body(item.body, item.id),
        group=item.group or item.id,
        tokens=item.tokens,
        expected_tokens=_estimate_tokens(headers, item.tokens),
        scorer=score_request,
    )


def _estimate_tokens(headers: dict[str, str], max_tokens: int) -> float:
    """Return the expected completion length in tokens.

    It is the caller's hint, or `max_tokens` without a valid hint.
    """
    try:
        return float(headers[_names.LENGTH_HINT_HEADER])
    except (KeyError, ValueError):
        return float(max_tokens)


def _decode_body(text: str, item_id: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise errors.RequestInvalid(
            f'body of item {item_id} is not valid base64: {error}',
            step='submit',
        ) from error


def encode_page(page: batches.ResultPage) -> bytes:
    """Encode a page of results."""
    results = [
        _SampleResult(
            result.sample_id,
            'completed' if result.complete else 'abandoned',
            result.text,
            result.versions,
            result.score,
        )
        for result in page.results
    ]
    return msgspec.json.encode(
        _ResultsPage(page.total, page.next_position, results)
    )
