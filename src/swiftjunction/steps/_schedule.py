"""The order in which the samples of a step are made."""

import abc
import collections
import heapq

from swiftjunction.steps import _step

# Prompts whose length_estimator are remembered, over all steps of a process.
MAX_PROMPTS = 16_384
# Weight of the newest length in the mean of a prompt.
LENGTH_GAIN = 0.25
UNKNOWN_TOKENS = float('inf')
RUNNING_TOKENS = 1e9


class LengthEstimator:
    """How long the answers to each prompt were, from earlier samples."""

    __slots__ = ('_means',)

    def __init__(self) -> None:
        self._means: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def learn(self, prompt: str, tokens: int) -> None:
        """Take note of the length of one answer."""
        mean = self._means.pop(prompt, float(tokens))
        self._means[prompt] = mean + LENGTH_GAIN * (tokens - mean)
        while len(self._means) > MAX_PROMPTS:
            self._means.popitem(last=False)

    def expect(self, prompt: str) -> float | None:
        """Return the mean length; None where the prompt is new."""
        return self._means.get(prompt)


class Schedule(abc.ABC):
    """Chooses which of a step's samples is made next.

    Samples that have a sequence number go first: all behind them wait.
    """

    def __init__(self) -> None:
        self._first: collections.deque[_step.SampleTask] = collections.deque()
        self.size = 0

    def push(self, task: _step.SampleTask, placed: bool) -> None:
        """Add a sample to be made."""
        self.size += 1
        if placed:
            self._first.append(task)
        else:
            self._add(task)

    def pop(self) -> _step.SampleTask | None:
        """Take the next one; None where there is none."""
        if not self.size:
            return None
        self.size -= 1
        return self._first.popleft() if self._first else self._take()

    @abc.abstractmethod
    def learn(self, task: _step.SampleTask, tokens: int) -> None:
        """Take note of the length of a finished sample."""

    @abc.abstractmethod
    def _add(self, task: _step.SampleTask) -> None:
        """Add a sample that has no sequence number yet."""

    @abc.abstractmethod
    def _take(self) -> _step.SampleTask:
        """Take the next of those."""


class FirstInFirstOut(Schedule):
    """Takes samples by their indices: the baseline of the measurements."""

    def __init__(self) -> None:
        super().__init__()
        self._tasks: collections.deque[_step.SampleTask] = collections.deque()

    def learn(self, task: _step.SampleTask, tokens: int) -> None:
        return

    def _add(self, task: _step.SampleTask) -> None:
        self._tasks.append(task)

    def _take(self) -> _step.SampleTask:
        return self._tasks.popleft()


class LongestFirst(Schedule):
    """Takes a sample of the group with the longest expected answers.

    Long samples that begin last are what a step waits for at its end. One
    sample of each group whose prompt is new goes before all others: from it
    the rest of the group has its expected length.

    Parameters
    ----------
    length_estimator : LengthEstimator
        Shared by all steps of a process.
    """

    def __init__(self, length_estimator: LengthEstimator) -> None:
        super().__init__()
        self._length_estimator = length_estimator
        self._groups: dict[int, collections.deque[_step.SampleTask]] = {}
        # A group stands here once for each length it was given; all but the
        # newest are passed over.
        self._heap: list[tuple[float, int]] = []
        self._expected: dict[int, float] = {}

    def learn(self, task: _step.SampleTask, tokens: int) -> None:
        self._length_estimator.learn(task.group.prompt, tokens)
        if self._groups.get(task.group_index):
            self._rank(task.group_index, task.group.prompt)

    def _add(self, task: _step.SampleTask) -> None:
        group = self._groups.setdefault(task.group_index, collections.deque())
        group.append(task)
        if len(group) == 1:
            self._rank(task.group_index, task.group.prompt)

    def _take(self) -> _step.SampleTask:
        while True:
            rank, group_index = heapq.heappop(self._heap)
            group = self._groups[group_index]
            if group and self._expected[group_index] == rank:
                break
        task = group.popleft()
        if group:
            self._rank(group_index, task.group.prompt, sent=True)
        return task

    def _rank(
        self, group_index: int, prompt: str, *, sent: bool = False
    ) -> None:
        tokens = self._length_estimator.expect(prompt)
        if tokens is None:
            # After the first of a new group comes the first of the next. A
            # group whose first is not back yet is longer than those whose
            # first is.
            tokens = RUNNING_TOKENS if sent else UNKNOWN_TOKENS
        self._expected[group_index] = -tokens
        heapq.heappush(self._heap, (-tokens, group_index))
