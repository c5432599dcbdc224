"""The order in which the samples of a step are generated."""

import abc
import collections
import heapq

from swiftjunction.steps import _step

# Maximum number of prompts with a length estimate in one process.
MAX_PROMPTS = 16_384
# Weight of the newest length in the moving average of a prompt.
LENGTH_SMOOTHING_FACTOR = 0.25
# Ranks of groups without an estimate: before and after their first sample
# was started. Both are above any real length.
UNSTARTED_GROUP_TOKENS = float('inf')
STARTED_GROUP_TOKENS = 1e9


class LengthEstimator:
    """Estimates the completion length of each prompt by a moving average."""

    __slots__ = ('_means',)

    def __init__(self) -> None:
        self._means: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def update(self, prompt: str, tokens: int) -> None:
        """Add the length of one completion."""
        mean = self._means.pop(prompt, float(tokens))
        self._means[prompt] = mean + LENGTH_SMOOTHING_FACTOR * (tokens - mean)
        while len(self._means) > MAX_PROMPTS:
            self._means.popitem(last=False)

    def estimate(self, prompt: str) -> float | None:
        """Return the mean length, or None if the prompt is unknown."""
        return self._means.get(prompt)


class Schedule(abc.ABC):
    """Selects the next sample of a step to generate.

    Committed samples come first, because they block delivery of all samples
    after them.
    """

    def __init__(self) -> None:
        self._committed: collections.deque[_step.SampleTask] = (
            collections.deque()
        )
        self.size = 0

    def push(self, task: _step.SampleTask, committed: bool) -> None:
        """Add a sample."""
        self.size += 1
        if committed:
            self._committed.append(task)
        else:
            self._push_uncommitted(task)

    def pop(self) -> _step.SampleTask | None:
        """Remove and return the next sample, or None if there is none."""
        if not self.size:
            return None
        self.size -= 1
        return (
            self._committed.popleft()
            if self._committed
            else self._pop_uncommitted()
        )

    @abc.abstractmethod
    def update(self, task: _step.SampleTask, tokens: int) -> None:
        """Update the length estimates with a finished sample."""

    @abc.abstractmethod
    def _push_uncommitted(self, task: _step.SampleTask) -> None:
        """Add an uncommitted sample."""

    @abc.abstractmethod
    def _pop_uncommitted(self) -> _step.SampleTask:
        """Remove and return the next uncommitted sample."""


class FirstInFirstOut(Schedule):
    """Selects samples in the order of addition; the benchmark baseline."""

    def __init__(self) -> None:
        super().__init__()
        self._tasks: collections.deque[_step.SampleTask] = collections.deque()

    def update(self, task: _step.SampleTask, tokens: int) -> None:
        return

    def _push_uncommitted(self, task: _step.SampleTask) -> None:
        self._tasks.append(task)

    def _pop_uncommitted(self) -> _step.SampleTask:
        return self._tasks.popleft()


class LongestFirst(Schedule):
    """Selects a sample of the group with the longest expected completion.

    Long samples that start last determine when a step finishes. One sample
    of each group with an unknown prompt precedes all others, to estimate the
    length of the rest of the group.

    Parameters
    ----------
    length_estimator : LengthEstimator
        Shared by all steps of a process.
    """

    def __init__(self, length_estimator: LengthEstimator) -> None:
        super().__init__()
        self._length_estimator = length_estimator
        self._groups: dict[int, collections.deque[_step.SampleTask]] = {}
        # Holds an entry for every rank that a group had. Outdated entries are
        # skipped when they are popped.
        self._heap: list[tuple[float, int]] = []
        self._ranks: dict[int, float] = {}

    def update(self, task: _step.SampleTask, tokens: int) -> None:
        self._length_estimator.update(task.group.prompt, tokens)
        if self._groups.get(task.group_index):
            self._push_rank(task.group_index, task.group.prompt)

    def _push_uncommitted(self, task: _step.SampleTask) -> None:
        group = self._groups.setdefault(task.group_index, collections.deque())
        group.append(task)
        if len(group) == 1:
            self._push_rank(task.group_index, task.group.prompt)

    def _pop_uncommitted(self) -> _step.SampleTask:
        while True:
            rank, group_index = heapq.heappop(self._heap)
            group = self._groups[group_index]
            if group and self._ranks[group_index] == rank:
                break
        task = group.popleft()
        if group:
            self._push_rank(group_index, task.group.prompt, started=True)
        return task

    def _push_rank(
        self, group_index: int, prompt: str, *, started: bool = False
    ) -> None:
        tokens = self._length_estimator.estimate(prompt)
        if tokens is None:
            # The first sample of every unknown group is started before any
            # second one. A group whose first sample is still running is
            # probably longer than the groups whose first sample finished.
            tokens = (
                STARTED_GROUP_TOKENS if started else UNSTARTED_GROUP_TOKENS
            )
        self._ranks[group_index] = -tokens
        heapq.heappush(self._heap, (-tokens, group_index))
