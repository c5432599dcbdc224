"""What becomes of a generation under which the weights were swapped."""

import abc
import enum

import msgspec


class SwapAction(enum.Enum):
    """What to do with the generation."""

    CONTINUE = 'continue'
    RESUME = 'resume'
    RESTART = 'restart'


class SwapContext(msgspec.Struct, frozen=True):
    """A generation whose next tokens come from a newer version.

    Attributes
    ----------
    oldest_version : int
        Of its tokens so far.
    oldest_fresh : int
        The oldest version that may be handed over now.
    is_whole : bool
        Whether nobody has seen a part of it, so that it may be begun anew.
    """

    oldest_version: int
    oldest_fresh: int
    is_whole: bool

    def is_stale(self) -> bool:
        """Tell whether it would be refused at its end anyway."""
        return self.is_whole and self.oldest_version < self.oldest_fresh


class SwapPolicy(abc.ABC):
    """Decides at each swap under a generation."""

    __slots__ = ()

    @abc.abstractmethod
    def decide(self, swap: SwapContext) -> SwapAction:
        """Return what to do."""


class FinishPolicy(SwapPolicy):
    """Goes on with the state that older weights made."""

    __slots__ = ()

    def decide(self, swap: SwapContext) -> SwapAction:
        if swap.is_stale():
            return SwapAction.RESTART
        return SwapAction.CONTINUE


class ResumePolicy(SwapPolicy):
    """Aborts, and has the new weights read what there is before going on."""

    __slots__ = ()

    def decide(self, swap: SwapContext) -> SwapAction:
        if swap.is_stale():
            return SwapAction.RESTART
        return SwapAction.RESUME


class RegeneratePolicy(SwapPolicy):
    """Begins anew, so that one version makes the whole."""

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
