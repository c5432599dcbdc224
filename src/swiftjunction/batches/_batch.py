"""The stored form of a batch of samples and of its results."""

import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import objectstore

BATCH_PREFIX = 'batches/'
# Far beyond the context of any model; sums of such numbers are exact.
MAX_TOKENS = 1_000_000_000


class ScoreRequest(msgspec.Struct, frozen=True):
    """The request that scores a finished sample.

    Attributes
    ----------
    request_id : str
        Chosen by the trainer.
    host : str
        Host by which the route of the scorer is found.
    path : str
        Path and query of the request.
    """

    request_id: str
    host: str
    path: str
    body: bytes


class Sample(msgspec.Struct, frozen=True):
    """One sample that a trainer requests.

    Attributes
    ----------
    request_path : str
        Path and query of the request to the engine.
    headers : list of (str, str)
        Headers that are passed on to the engine unchanged.
    group : str
        Name of its group; the samples of a group share their prompt.
    tokens : int
        Upper bound of the tokens in prompt and text together.
    expected_tokens : float
        Expected length of the text in tokens: the trainer's estimate, or the
        upper bound if it gave none. Earlier builds stored any estimate, and
        null for an infinite one; use `estimate_tokens`.
    scorer : ScoreRequest
        Scores the sample once its text is complete; None for no score.
    """

    sample_id: str = msgspec.field(name='item_id')
    request_path: str = msgspec.field(name='target')
    headers: list[tuple[str, str]]
    body: bytes
    group: str = ''
    tokens: int = 0
    expected_tokens: float | None = 0.0
    scorer: ScoreRequest | None = None

    def estimate_tokens(self) -> float:
        """Return the expected length of the text in tokens."""
        if self.expected_tokens is None or not (
            0 <= self.expected_tokens <= MAX_TOKENS
        ):
            return float(self.tokens)
        return self.expected_tokens


class Batch(msgspec.Struct, frozen=True):
    """A batch as it is stored.

    Attributes
    ----------
    route : str
        Name of the route that accepted it.
    host : str
        Host of that route, which requests to engines name.
    service : str
        The service whose engines run it.
    total : int
        Number of its samples; it stays when `samples` is emptied at the end.
    model : str
        The model that generates the samples.
    step : int
        Number of the training step that needs the samples.
    min_version : int
        The oldest weight version that may generate any of its tokens.
    single_version : bool
        Whether all tokens of a sample must come from one weight version.
    wanted_groups : int
        Number of complete groups that the trainer waits for.
    due_seconds : float
        Time from the submission to the deadline of all results.
    max_age_seconds : float
        Age from which samples may be given up; 0 for never. It is stored, but
        has no effect.
    max_attempts : int
        Number of failed attempts after which a sample is given up.
    ended : bool
        Whether the trainer needs no more results.
    parts : int
        Number of further objects that hold the samples; 0 if the object of
        the batch holds them.
    writer : str
        Unique for each write, to recognize a write whose response was lost.
    organisation : str
        The organisation that the batch belongs to; empty if it belongs to
        none.
    """

    batch_id: str
    route: str
    host: str
    service: str
    total: decoding.Count
    samples: list[Sample] = msgspec.field(name='items')
    model: str = ''
    step: int = 0
    min_version: int = 0
    single_version: bool = False
    wanted_groups: int = 0
    due_seconds: float = 0.0
    max_age_seconds: float = 0.0
    max_attempts: int = 1
    ended: bool = False
    parts: decoding.Count = 0
    writer: str = ''
    organisation: str = ''


def is_accessible(batch: Batch, organisation: str | None) -> bool:
    """Return whether callers of an organisation may access a batch.

    Parameters
    ----------
    organisation : str or None
        Empty for callers without one; None if organisations do not matter.
    """
    return organisation is None or batch.organisation in ('', organisation)


class Result(msgspec.Struct, frozen=True):
    """The outcome of one sample.

    Attributes
    ----------
    complete : bool
        False if the sample was given up.
    versions : list of int
        The weight versions that generated its text.
    score : str
        The scorer's signature of its response, which the trainer receives as
        the score; empty without a score.
    """

    sample_id: str = msgspec.field(name='item_id')
    complete: bool
    text: str = ''
    versions: list[int] = []
    score: str = ''


def decode_batch(found: objectstore.Object) -> Batch:
    """Return the stored batch.

    Raises
    ------
    ObjectBroken
        If it is invalid, or is stored under the id of another batch.
    """
    batch = objectstore.decode_value(found, Batch)
    if found.key != BATCH_PREFIX + batch.batch_id:
        raise errors.ObjectBroken(
            f'{found.key} holds the batch {batch.batch_id!r}', step='decode'
        )
    return batch
