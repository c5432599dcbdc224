"""How far one generation is."""

import uuid

from swiftjunction import backends
from swiftjunction import errors


class Progress:
    """What the caller has been given so far."""

    __slots__ = (
        'excluded',
        'may_have_run',
        'nonce',
        'swaps',
        'text',
        'tokens',
        'tries',
        'versions',
    )

    def __init__(self) -> None:
        self.text = ''
        self.tokens = 0
        self.tries = 0
        self.may_have_run = False
        self.nonce = uuid.uuid4().hex[:12]
        self.swaps = 0
        self.excluded: set[str] = set()
        # The oldest and the newest version of the tokens so far.
        self.versions: tuple[int, int] | None = None

    def name_attempt(self, request_id: str) -> str:
        """Return what the next attempt is called on its engine."""
        return f'{request_id}.{self.nonce}-{self.tries}{"r" * self.swaps}'

    def add(self, chunk: backends.Chunk) -> backends.Chunk | None:
        """Take in a chunk; None if the caller has it already."""
        if chunk.offset + chunk.tokens <= self.tokens and chunk.tokens:
            return None
        if chunk.offset != self.tokens:
            raise errors.AnswerBroken(
                f'chunk at token {chunk.offset}, expected {self.tokens}',
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
