"""Policies for generations during which an engine swaps its weights."""

import abc
import enum

import msgspec


class SwapAction(enum.Enum):
    """How a generation proceeds after a weight swap.

    Attributes
    ----------
    CONTINUE
        Keep decoding with the state computed by the older weights.
    RESUME
        Abort, and let the new weights process the prompt and the tokens so
        far before they continue.
    RESTART
        Discard the tokens so far and start again.
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
        Whether the answer is delivered only when complete, so that the
        generation can be restarted.
    """

    oldest_version: int
    oldest_fresh: int
    is_whole: bool

    def is_stale(self) -> bool:
        """Return whether the answer would be rejected as stale at its end."""
        return self.is_whole and self.oldest_version < self.oldest_fresh


class SwapPolicy(abc.ABC):
    """Decides how a generation proceeds after a weight swap."""

    __slots__ = ()

    @abc.abstractmethod
    def decide(self, swap: SwapContext) -> SwapAction:
        """Return the action for the generation that `swap` describes."""


class FinishPolicy(SwapPolicy):
    """Continues with the state computed by the older weights."""

    __slots__ = ()

    def decide(self, swap: SwapContext) -> SwapAction:
        if swap.is_stale():
            return SwapAction.RESTART
        return SwapAction.CONTINUE


class ResumePolicy(SwapPolicy):
    """Recomputes the state with the new weights, then continues."""

    __slots__ = ()

    def decide(self, swap: SwapContext) -> SwapAction:
        if swap.is_stale():
            return SwapAction.RESTART
        return SwapAction.RESUME


class RegeneratePolicy(SwapPolicy):
    """Restarts, so that a single version generates the whole answer."""

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
