"""Requests that run on an engine stand-in."""

import anyio
import msgspec

from swiftjunction.standins import _texts


class TextChunk(msgspec.Struct, frozen=True):
    """Tokens that were generated in one tick.

    Attributes
    ----------
    offset : int
        Number of tokens of the completion before this chunk.
    tokens : int
        Number of tokens.
    weight_version : int
        Version that generated them; 0 if the engine does not report it.
    text : str
        Text of the tokens.
    """

    offset: int
    tokens: int
    weight_version: int
    text: str


class KvCacheState(msgspec.Struct, frozen=True):
    """State that another engine needs to continue a generation.

    Attributes
    ----------
    model : str
        Name of the model.
    prompt : str
        Prompt of the request.
    seed : int
        Seed of the request.
    total : int
        Length of the complete text in tokens.
    position : int
        Number of tokens that have been generated.
    """

    model: str
    prompt: str
    seed: int
    total: int
    position: int


class Generation:
    """One request and the text generated for it so far.

    Parameters
    ----------
    request_id : str
        Identifies the request; chosen by the client.
    state : KvCacheState
        State from which the generation starts.
    priority : int
        Requests with a higher priority run first.

    Attributes
    ----------
    position : int
        Number of tokens that have been generated.
    chunks : list of TextChunk
        Chunks that this engine has generated, in order.
    remaining_prefill_ticks : int
        Ticks to wait before the first token is generated.
    changed : Event
        Set when a chunk is added or the request is cancelled, then replaced
        by a new event.
    cancelled : bool
        Whether the request was cancelled.
    """

    def __init__(
        self, request_id: str, state: KvCacheState, priority: int = 0
    ) -> None:
        self.request_id = request_id
        self.state = state
        self.priority = priority
        self.position = state.position
        self.chunks: list[TextChunk] = []
        self.remaining_prefill_ticks = 0
        self.changed = anyio.Event()
        self.cancelled = False

    @property
    def finished(self) -> bool:
        """Tell whether no more tokens will be generated."""
        return self.position >= self.state.total or self.cancelled

    def advance(self, tokens: int, weight_version: int) -> None:
        """Generate up to `tokens` tokens, unless the prefill still runs."""
        if self.remaining_prefill_ticks > 0:
            self.remaining_prefill_ticks -= 1
            return
        end = min(self.position + tokens, self.state.total)
        text = ''.join(
            _texts.make_token(self.state.prompt, self.state.seed, position)
            for position in range(self.position, end)
        )
        self.chunks.append(
            TextChunk(self.position, end - self.position, weight_version, text)
        )
        self.position = end
        self.notify_readers()

    def export_state(self) -> KvCacheState:
        """Return the state with which another engine can continue."""
        return msgspec.structs.replace(self.state, position=self.position)

    def cancel(self) -> None:
        """Stop the generation."""
        self.cancelled = True
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake the tasks that wait for `changed`."""
        self.changed.set()
        self.changed = anyio.Event()
