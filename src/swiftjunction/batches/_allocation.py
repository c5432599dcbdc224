"""Which engine keeps the newest weights of which model.

Engines that hold several models could all follow all of them; but each load
takes an engine's time, and with several trainers the loads alone would keep
the engines busy. So each engine follows one model where there are as many
engines as models, and models get engines by their part of the load.
"""

import collections.abc

from swiftjunction.batches import _engines

# A model keeps its number of engines until its part of the load is off by so
# many engines, so that engines do not change sides at every step.
HYSTERESIS_ENGINES = 0.75


class EngineAllocator:
    """Divides the engines of a service between its models.

    Attributes
    ----------
    load : dict of str to float
        Tokens that each model was asked for.
    """

    __slots__ = ('_quotas', '_size', 'load')

    def __init__(self) -> None:
        self._quotas: dict[str, int] = {}
        self._size = 0
        self.load: dict[str, float] = {}

    def note_load(self, model: str, tokens: float) -> None:
        """Count tokens that a model was asked for."""
        self.load[model] = self.load.get(model, 0.0) + tokens

    def divide(
        self,
        engines: collections.abc.Sequence[_engines.EngineState],
        targets: collections.abc.Mapping[str, int],
    ) -> dict[str, list[_engines.EngineState]]:
        """Return the engines of each model.

        Parameters
        ----------
        targets : mapping of str to int
            The newest version of each model that is to be followed.
        """
        models = sorted(targets)
        if len(engines) <= len(models) or len(models) < 2:
            return {model: list(engines) for model in models}
        quotas = self._find_quotas(models, len(engines))
        divided: dict[str, list[_engines.EngineState]] = {
            m: [] for m in models
        }
        # Who has nearly the newest version of a model stays with it.
        pairs = sorted(
            (targets[model] - engine.version(model), index, model)
            for index, engine in enumerate(engines)
            for model in models
        )
        placed: set[int] = set()
        for _, index, model in pairs:
            if index in placed or len(divided[model]) >= quotas[model]:
                continue
            placed.add(index)
            divided[model].append(engines[index])
        return divided

    def _find_quotas(self, models: list[str], size: int) -> dict[str, int]:
        total = sum(self.load.get(model, 0.0) for model in models)
        ideal = {
            model: size * self.load.get(model, 0.0) / total
            if total
            else size / len(models)
            for model in models
        }
        if self._is_still_good(ideal, size):
            return self._quotas
        self._quotas = _round_up(ideal, size)
        self._size = size
        return self._quotas

    def _is_still_good(self, ideal: dict[str, float], size: int) -> bool:
        return (
            size == self._size
            and self._quotas.keys() == ideal.keys()
            and all(
                abs(self._quotas[model] - wanted) <= HYSTERESIS_ENGINES
                for model, wanted in ideal.items()
            )
        )


def _round_up(ideal: dict[str, float], size: int) -> dict[str, int]:
    """Return whole numbers that add up to `size`, each at least one."""
    quotas = {model: max(int(wanted), 1) for model, wanted in ideal.items()}
    while sum(quotas.values()) < size:
        model = max(quotas, key=lambda m: ideal[m] - quotas[m])
        quotas[model] += 1
    while sum(quotas.values()) > size:
        model = max(
            quotas, key=lambda m: (quotas[m] > 1, quotas[m] - ideal[m])
        )
        quotas[model] -= 1
    return quotas
