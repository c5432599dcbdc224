"""One request on an engine stand-in."""

import anyio
import msgspec

from swiftjunction.standins import _texts


class PieceOfText(msgspec.Struct, frozen=True):
    """Some tokens as generated in one tick."""

    offset: int
    tokens: int
    weight_version: int
    text: str


class KeyValueState(msgspec.Struct, frozen=True):
    """What an engine exports of a generation, to go on elsewhere."""

    model: str
    prompt: str
    seed: int
    total: int
    position: int


class Generation:
    """One request: what it generates, and how far it is.

    Parameters
    ----------
    request_id : str
        Given by the client.
    state : KeyValueState
        Where it begins.
    priority : int
        Higher runs first.
    """

    def __init__(
        self, request_id: str, state: KeyValueState, priority: int = 0
    ) -> None:
        self.request_id = request_id
        self.state = state
        self.priority = priority
        self.position = state.position
        self.pieces: list[PieceOfText] = []
        self.prefill_ticks = 0
        self.changed = anyio.Event()
        self.cancelled = False

    @property
    def finished(self) -> bool:
        """Tell whether nothing more comes."""
        return self.position >= self.state.total or self.cancelled

    def advance(self, tokens: int, weight_version: int) -> None:
        """Generate up to `tokens` more."""
        if self.prefill_ticks > 0:
            self.prefill_ticks -= 1
            return
        end = min(self.position + tokens, self.state.total)
        text = ''.join(
            _texts.make_token(self.state.prompt, self.state.seed, position)
            for position in range(self.position, end)
        )
        self.pieces.append(
            PieceOfText(
                self.position, end - self.position, weight_version, text
            )
        )
        self.position = end
        self.notify()

    def export(self) -> KeyValueState:
        """Return what another engine needs to go on."""
        return msgspec.structs.replace(self.state, position=self.position)

    def cancel(self) -> None:
        """Stop it."""
        self.cancelled = True
        self.notify()

    def notify(self) -> None:
        """Wake whoever reads it."""
        self.changed.set()
        self.changed = anyio.Event()
