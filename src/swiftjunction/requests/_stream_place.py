"""Events without a number, between two numbered ones of a stream.

No server can be asked to go on after such an event. A server that resumes the
stream begins after the last numbered one, and sends these again. It may go on
only if it repeats those that the caller has, so that what the caller reads
there comes from one run.
"""

import xxhash

from swiftjunction import backends


class PlaceDigest:
    """The events without a number after one numbered event, as a digest.

    Attributes
    ----------
    count : int
        The number of these events.
    """

    __slots__ = ('_hash', 'count')

    def __init__(self) -> None:
        self.count = 0
        self._hash = xxhash.xxh3_128()

    def add(self, event: backends.StreamEvent) -> None:
        """Add the next event."""
        self.count += 1
        # Without the lengths, one event could equal two shorter ones.
        self._hash.update(b'%d:' % len(event.frame))
        self._hash.update(event.frame)

    def compute(self) -> bytes:
        """Return the digest of the events so far."""
        return self._hash.digest()


class RepeatedEvents:
    """The events that a server repeats, compared with those sent before.

    Parameters
    ----------
    sent : PlaceDigest
        What the caller has already; more may be added to it later.
    """

    __slots__ = ('_repeated', '_sent_count', '_sent_digest')

    def __init__(self, sent: PlaceDigest) -> None:
        self._sent_count = sent.count
        self._sent_digest = sent.compute()
        self._repeated = PlaceDigest()

    def are_missing(self) -> bool:
        """Return whether the server has yet to repeat any of them."""
        return self._repeated.count < self._sent_count

    def add(self, event: backends.StreamEvent) -> bool:
        """Add an event; return whether it can still be a repetition."""
        self._repeated.add(event)
        return self.are_missing() or (
            self._repeated.compute() == self._sent_digest
        )
