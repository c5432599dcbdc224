"""Decides which engine changes to which model."""

import abc
import collections.abc

import msgspec

# At a load of 1 the batch is full; above, requests queue.
HIGH_LOAD = 0.9
# What a donor's load may be after it has given an engine.
MAX_DONOR_LOAD = 0.6
# How long the load must stand before an engine is moved for it.
HOLD_SECONDS = 60.0
UNLIMITED_SERVERS = 1_000_000


class ModelLimits(msgspec.Struct, frozen=True):
    """How many engines a model may have.

    Attributes
    ----------
    least, most : int
        Below and above which it is never brought by a move.
    share : float
        Of two models in need, the one with the larger share goes first.
    """

    model: str
    least: int = 1
    most: int = UNLIMITED_SERVERS
    share: float = 1.0


class EngineState(msgspec.Struct, frozen=True):
    """One engine as it reports itself, and as it is planned.

    Attributes
    ----------
    model : str
        What it says it serves.
    planned : str
        What it was told to serve.
    is_serving : bool
        Whether it is live and has weights.
    load : float
        1 where its batch is full.
    """

    name: str
    model: str
    planned: str
    is_serving: bool = True
    load: float = 0.0


class Move(msgspec.Struct, frozen=True):
    """One engine's change to a model."""

    engine: str
    model: str


class PlacementPolicy(abc.ABC):
    """Decides on moves."""

    __slots__ = ()

    @abc.abstractmethod
    def decide(
        self,
        needs: collections.abc.Sequence[ModelLimits],
        engines: collections.abc.Sequence[EngineState],
        now: float,
    ) -> list[Move]:
        """Return the moves to make now, at most one to or from a model."""


class DemandPolicy(PlacementPolicy):
    """Fills each model to its least, then follows demand with hysteresis.

    A model takes part in a move only while no engine of it is changing, so a
    model with two engines never loses both, and a move is judged by the load
    that the one before it has left.
    """

    __slots__ = ('_high_since',)

    def __init__(self) -> None:
        self._high_since: dict[str, float] = {}

    def decide(
        self,
        needs: collections.abc.Sequence[ModelLimits],
        engines: collections.abc.Sequence[EngineState],
        now: float,
    ) -> list[Move]:
        groups = [_Group(need, engines) for need in needs]
        self._follow_load(groups, now)
        receivers = sorted(
            (g for g in groups if self._wants_engine(g, now)),
            key=lambda g: (-g.lack, -g.need.share, g.need.model),
        )
        moves: list[Move] = []
        used: set[str] = set()
        for receiver in receivers:
            if receiver.need.model in used:
                continue
            donor = self._choose_donor(receiver, groups, used)
            if donor is None:
                continue
            used |= {receiver.need.model, donor.need.model}
            self._high_since.pop(receiver.need.model, None)
            moves.append(Move(donor.choose_engine().name, receiver.need.model))
        return moves

    def _follow_load(
        self, groups: collections.abc.Iterable['_Group'], now: float
    ) -> None:
        for group in groups:
            if group.load_with(0) >= HIGH_LOAD:
                self._high_since.setdefault(group.need.model, now)
            else:
                self._high_since.pop(group.need.model, None)

    def _wants_engine(self, group: '_Group', now: float) -> bool:
        if group.is_changing:
            return False
        if group.lack > 0:
            return True
        since = self._high_since.get(group.need.model, now)
        return now - since >= HOLD_SECONDS and group.planned < group.need.most

    def _choose_donor(
        self,
        receiver: '_Group',
        groups: collections.abc.Iterable['_Group'],
        used: set[str],
    ) -> '_Group | None':
        candidates = [
            g
            for g in groups
            if g.need.model not in used | {receiver.need.model}
            and g.may_give()
            # For a model that lacks its least, load is no reason to refuse.
            and (receiver.lack > 0 or g.load_with(-1) <= MAX_DONOR_LOAD)
        ]
        return min(
            candidates,
            key=lambda g: (g.load_with(-1), g.need.model),
            default=None,
        )


class _Group:
    """The engines of one model."""

    __slots__ = ('_serving', 'is_changing', 'need', 'planned')

    def __init__(
        self,
        need: ModelLimits,
        engines: collections.abc.Iterable[EngineState],
    ) -> None:
        own = [e for e in engines if e.planned == need.model]
        self.need = need
        self.planned = len(own)
        self._serving = [
            e for e in own if e.is_serving and e.model == need.model
        ]
        self.is_changing = any(
            e.model != e.planned and need.model in (e.model, e.planned)
            for e in engines
        )

    @property
    def lack(self) -> int:
        """Return how many engines are missing to the least."""
        return max(self.need.least - self.planned, 0)

    def load_with(self, change: int) -> float:
        """Return the mean load if there were `change` engines more."""
        count = len(self._serving) + change
        if count <= 0:
            return 0.0 if not self._serving else float('inf')
        return sum(e.load for e in self._serving) / count

    def may_give(self) -> bool:
        """Tell whether it can lose an engine that serves."""
        return (
            not self.is_changing
            and bool(self._serving)
            and len(self._serving) - 1 >= self.need.least
        )

    def choose_engine(self) -> EngineState:
        """Return the engine that is missed the least."""
        return min(self._serving, key=lambda e: (e.load, e.name))
