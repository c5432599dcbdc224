"""A batch of samples that is accepted as a whole and run later."""

import msgspec


class ScoreRequest(msgspec.Struct, frozen=True):
    """The request that scores a finished sample.

    Attributes
    ----------
    request_id : str
        Given by the trainer.
    """

    request_id: str
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, frozen=True):
    """One sample that is to be generated.

    Attributes
    ----------
    target : str
        Path and query, as the engine gets them.
    headers : list of (str, str)
        Which the engine gets unchanged.
    group : str
        Samples of one group share their prompt.
    tokens : int
        Prompt and longest answer together.
    expected_tokens : float
        The trainer's guess of the answer's length; 0 where there is none.
    """

    item_id: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    group: str = ''
    tokens: int = 0
    expected_tokens: float = 0.0
    scorer: ScoreRequest | None = None


class Batch(msgspec.Struct, frozen=True):
    """What a trainer has submitted.

    Attributes
    ----------
    route : str
        Name of the route it came by.
    service : str
        Whose engines run it.
    min_version : int
        The oldest weight version that may make any token of it.
    wanted_groups : int
        How many whole groups its trainer waits for.
    max_attempts : int
        Failed runs after which a sample may be given up.
    total : int
        How many samples it has, also after they were dropped at its end.
    ended : bool
        Whether its trainer wants no more of it.
    parts : int
        Objects that hold the samples, where they are too many for one.
    writer : str
        Unlike in every other writer's copy, to tell whose write it was.
    """

    batch_id: str
    route: str
    host: str
    service: str
    total: int
    items: list[Item]
    model: str = ''
    step: int = 0
    min_version: int = 0
    single_version: bool = False
    wanted_groups: int = 0
    due_seconds: float = 0.0
    max_age_seconds: float = 0.0
    max_attempts: int = 1
    ended: bool = False
    parts: int = 0
    writer: str = ''


class Result(msgspec.Struct, frozen=True):
    """What became of one sample.

    Attributes
    ----------
    complete : bool
        False where it was given up.
    versions : list of int
        The weight versions that made its text.
    score : str
        The scorer's signature on its answer.
    """

    item_id: str
    complete: bool
    text: str = ''
    versions: list[int] = []
    score: str = ''
