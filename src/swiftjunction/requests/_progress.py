"""State of one generation across its attempts."""

import uuid

from swiftjunction import backends
from swiftjunction import errors


class GenerationProgress:
    """What was generated so far, and by which attempts.

    Attributes
    ----------
    text : str
        All text generated so far.
    tokens : int
        Number of tokens in `text`.
    attempts : int
        Attempts made, without those that a weight swap ended.
    swap_resumes : int
        Attempts that a weight swap ended, to resume with the new weights.
    may_have_run : bool
        Whether any attempt may have run on its server.
    nonce : str
        Makes the attempt ids unique.
    excluded : set of str
        Names of the servers that the next attempt must avoid.
    versions : tuple of int, or None
        The oldest and the newest weight version of the tokens; None before
        the first token.
    """

    __slots__ = (
        'attempts',
        'excluded',
        'may_have_run',
        'nonce',
        'swap_resumes',
        'text',
        'tokens',
        'versions',
    )

    def __init__(self) -> None:
        self.text = ''
        self.tokens = 0
        self.attempts = 0
        self.may_have_run = False
        self.nonce = uuid.uuid4().hex[:12]
        self.swap_resumes = 0
        self.excluded: set[str] = set()
        self.versions: tuple[int, int] | None = None

    def make_attempt_id(self, request_id: str) -> str:
        """Return the id under which an engine knows the current attempt."""
        return (
            f'{request_id}.{self.nonce}-{self.attempts}'
            f'{"r" * self.swap_resumes}'
        )

    def add_chunk(self, chunk: backends.Chunk) -> backends.Chunk | None:
        """Append a chunk; return None if it repeats known tokens.

        Raises
        ------
        AnswerBroken
            If the chunk does not continue the text.
        """
        if chunk.offset + chunk.tokens <= self.tokens and chunk.tokens:
            return None
        if chunk.offset != self.tokens:
            raise errors.AnswerBroken(
                f'chunk starts at token {chunk.offset}, '
                f'expected {self.tokens}',
                step='generate',
            )
        self.text += chunk.text
        self.tokens += chunk.tokens
        if chunk.tokens:
            oldest, newest = self.versions or (chunk.weight_version,) * 2
            self.versions = (
                min(oldest, chunk.weight_version),
                max(newest, chunk.weight_version),
            )
        return chunk
