"""Policies for generations during which an engine swaps its weights."""

import abc
import enum

import msgspec


class SwapAction(enum.Enum):
    """How a generation proceeds after a weight swap.

    Attributes
    ----------
    CONTINUE
        Keep decoding with the attention cache that the older weights
        computed.
    RESUME
        Abort, and let the new weights process the prompt and the tokens so
        far before they continue.
    RESTART
        Discard the tokens so far and generate the completion again.
    """

    CONTINUE = 'continue'
    RESUME = 'resume'
    RESTART = 'restart'


class SwapContext(msgspec.Struct, frozen=True):
    """A generation whose next tokens come from a newer weight version.

    Attributes
    ----------
    oldest_version : int
        The oldest version among the tokens so far.
    oldest_fresh : int
        The oldest version within the request's freshness bound now.
    is_whole : bool
        Whether the completion is delivered only when complete, so that the
        generation can be restarted.
    """

    oldest_version: int
    oldest_fresh: int
    is_whole: bool

    def is_stale(self) -> bool:
        """Return whether the completion would be rejected as stale."""
        return self.is_whole and self.oldest_version < self.oldest_fresh


class SwapPolicy(abc.ABC):
    """Decides how a generation proceeds after a weight swap."""

    __slots__ = ()

    @abc.abstractmethod
    def decide(self, swap: SwapContext) -> SwapAction:
        """Return the action for the generation that `swap` describes."""


class FinishPolicy(SwapPolicy):
    """Continues with the attention cache computed by the older weights.

    Restarts instead if the completion would be rejected as stale.
    """

    __slots__ = ()

    def decide(self, swap: SwapContext) -> SwapAction:
        if swap.is_stale():
            return SwapAction.RESTART
        return SwapAction.CONTINUE


class ResumePolicy(SwapPolicy):
    """Recomputes the attention cache with the new weights, then continues.

    Restarts instead if the completion would be rejected as stale.
    """

    __slots__ = ()

    def decide(self, swap: SwapContext) -> SwapAction:
        if swap.is_stale():
            return SwapAction.RESTART
        return SwapAction.RESUME


class RegeneratePolicy(SwapPolicy):
    """Restarts, so that one version generates the whole completion.

    Continues a completion that is streamed, as its tokens so far have been
    delivered.
    """

    __slots__ = ()

    def decide(self, swap: SwapContext) -> SwapAction:
        if swap.is_whole:
            return SwapAction.RESTART
        return SwapAction.CONTINUE


SWAP_POLICIES: dict[str, SwapPolicy] = {
    'finish': FinishPolicy(),
    'resume': ResumePolicy(),
    'regenerate': RegeneratePolicy(),
}
