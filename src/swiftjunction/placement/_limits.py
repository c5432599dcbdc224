"""Which models take part in placement, by the settings of all paths."""

from swiftjunction import configuration
from swiftjunction.placement import _policy


def list_model_limits(tree: configuration.Tree) -> list[_policy.ModelLimits]:
    """Return one need for each model for which some path sets a limit.

    Where paths of different teams name one model, the largest of each limit
    holds, and their shares add up. A model for which no path sets a limit
    neither gives nor gets engines.
    """
    needs: dict[str, _policy.ModelLimits] = {}
    for settings in tree.paths().values():
        model = settings.model
        if not model or (
            settings.least_servers is None and settings.most_servers is None
        ):
            continue
        found = _policy.ModelLimits(
            model,
            settings.least_servers or 1,
            settings.most_servers or _policy.UNLIMITED_SERVERS,
            settings.share or 1.0,
        )
        held = needs.get(model)
        if held is not None:
            found = _policy.ModelLimits(
                model,
                max(held.least, found.least),
                max(held.most, found.most),
                held.share + found.share,
            )
        needs[model] = found
    return list(needs.values())
