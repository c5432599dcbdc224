"""Exception hierarchy.

An error records the operation that failed and the peer involved, if any, so
that a log line is enough to start an investigation.
"""

__all__ = [
    'AddressInUse',
    'AddressInvalid',
    'AnswerBroken',
    'BackendError',
    'BackendRefused',
    'BackendUnreachable',
    'BodyTooLarge',
    'ContentBroken',
    'HistoryLost',
    'KeyRefused',
    'KeyUnknown',
    'LeaseLost',
    'LinkError',
    'NotRun',
    'ObjectBroken',
    'ObjectMissing',
    'ObjectTooLarge',
    'OutcomeUnknown',
    'PlatformError',
    'PlatformUnavailable',
    'PoisonRefused',
    'RequestError',
    'RequestInvalid',
    'RequestTimeout',
    'RequestUnsendable',
    'RouteMissing',
    'RevisionConflict',
    'SampleFailed',
    'SampleRefused',
    'ServerCrashed',
    'ServersBusy',
    'SettingsError',
    'StepElsewhere',
    'StepEnded',
    'StepIncomplete',
    'StaleWeights',
    'StreamNotResumable',
    'SwiftjunctionError',
    'WeightsSwapped',
    'WriteUncertain',
    'describe',
]


def describe(error: BaseException) -> str:
    """Return the text of an exception, or the name of its type without one."""
    return str(error) or type(error).__name__


class SwiftjunctionError(Exception):
    """Base class of all errors that this project raises.

    Parameters
    ----------
    message : str
        Human-readable description of the failure.
    step : str
        Name of the operation that failed; empty if not given.
    peer : str
        Name or address of the peer involved; empty if there was none.
    """

    def __init__(self, message: str, *, step: str = '', peer: str = ''):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        context = ', '.join(
            f'{name} {value}'
            for name, value in (('step', self.step), ('peer', self.peer))
            if value
        )
        return f'{self.message} ({context})' if context else self.message


class SettingsError(SwiftjunctionError):
    """The settings are invalid; correct each of the listed problems.

    Parameters
    ----------
    problems : list of str
        One line per problem.
    """

    def __init__(self, problems: list[str]):
        super().__init__('; '.join(problems), step='settings')
        self.problems = problems


class AddressInUse(SettingsError):
    """Another process listens on an address; stop it, or name another one."""


class ContentBroken(SwiftjunctionError):
    """What another process sent or stored cannot be decoded."""


class PlatformError(SwiftjunctionError):
    """A call to the platform failed."""


class PlatformUnavailable(PlatformError):
    """The platform refused the call or is unreachable; nothing was changed.

    A read whose response is lost also raises it. The call may be retried.
    """


class HistoryLost(PlatformError):
    """The platform has discarded the changes since the given revision.

    List the objects again and watch from the new revision.
    """


class PeerUnreachable(PlatformUnavailable):
    """The peer through which the platform was called did not answer."""


class WriteUncertain(PlatformError):
    """The response to a write was lost; read the object to see its effect."""


class RevisionConflict(PlatformError):
    """The object is not at the version that the write requires."""


class ObjectMissing(PlatformError):
    """The object does not exist."""


class ObjectBroken(PlatformError):
    """The value is invalid for its key; an operator must correct it."""


class ObjectTooLarge(PlatformError):
    """The value exceeds the platform's limit of one megabyte."""


class KeyRefused(SwiftjunctionError):
    """The key does not permit the operation; ask the team for a valid one."""


class LeaseLost(SwiftjunctionError):
    """The lease is not held, or expires too soon to act under it.

    If `peer` is given, that peer has refused the fencing token; only the
    lease's object shows whether another process holds the lease.
    """


class LinkError(SwiftjunctionError):
    """A message to or from another daemon could not be sent or handled."""


class BackendError(SwiftjunctionError):
    """A backend server failed a request."""


class BackendUnreachable(BackendError):
    """No part of the request reached the backend server.

    Retrying at another server is safe.
    """


class AddressInvalid(BackendUnreachable):
    """The address of the server is invalid, so that nothing was sent to it.

    Correct what names the address.
    """


class PathAbandoned(BackendUnreachable):
    """The request was not sent, as this VM is cut off from the service.

    Not met by users: the request goes on through another VM.
    """


class BackendRefused(BackendError):
    """The backend server refused the request without running it.

    Retrying at another server is safe.
    """


class AnswerBroken(BackendError):
    """The response ended early or is invalid; the request may have run."""


class StreamNotContinued(BackendError):
    """A server has answered, but not with the rest of the stream.

    The request may have run. The answer is complete, so that the server works.
    """


class RequestError(SwiftjunctionError):
    """A request ended without a complete response.

    ``status`` and ``outcome`` are the HTTP status and the outcome that the
    caller receives.

    Parameters
    ----------
    retry_after_seconds : float
        Time after which the caller may retry, in seconds.
    """

    status = 500
    outcome = 'unknown'

    def __init__(
        self,
        message: str,
        *,
        step: str = '',
        peer: str = '',
        retry_after_seconds: float = 1.0,
    ):
        super().__init__(message, step=step, peer=peer)
        self.retry_after_seconds = retry_after_seconds


class RequestInvalid(RequestError):
    """The request is invalid; retrying it does not help."""

    status = 400
    outcome = 'not-run'


class RequestUnsendable(RequestInvalid):
    """HTTP cannot carry the request, so that no server ever gets it.

    No server is at fault. Correct the header or path that the message names.
    """


class BodyTooLarge(RequestInvalid):
    """The body of the request is larger than the configuration allows."""

    status = 413


class RouteMissing(RequestInvalid):
    """No route matches the host and path, or the requested item is missing."""

    status = 404


class KeyUnknown(RequestInvalid):
    """No organisation has the key of the request; send a valid one."""

    status = 401


class StepEnded(RequestError):
    """The trainer has acknowledged every sample of the step."""

    status = 410
    outcome = 'complete'


class StepIncomplete(RequestError):
    """The step was cancelled or reached its deadline while incomplete."""

    status = 410
    outcome = 'incomplete'


class StepElsewhere(RequestError):
    """Another process owns the step; send the request to ``peer``."""

    status = 307
    outcome = 'not-run'


class NotRun(RequestError):
    """The request did not run on any backend server and may be retried."""

    status = 503
    outcome = 'not-run'


class ServersBusy(NotRun):
    """Every eligible backend server is at its limit; retry later."""


class RateLimited(NotRun):
    """Every eligible server takes only so many requests a second."""


class StreamNotResumable(NotRun):
    """The stream cannot be resumed; request it from its beginning."""


class BatchEnded(NotRun):
    """The batch has ended, so nothing more of it is sent to servers."""


class EndUnconfirmed(NotRun):
    """The batch may have ended, so nothing of it is sent for now."""


class PoisonRefused(RequestError):
    """The request has crashed several backend servers; do not retry it."""

    status = 422
    outcome = 'not-run'


class SampleFailed(BackendError):
    """A backend server ran the request and reported a failure."""


class SampleRefused(BackendError):
    """The backend server can never run the request; retrying does not help."""


class ServerCrashed(AnswerBroken):
    """The backend server stopped or lost its state while running a request."""


class OutcomeUnknown(RequestError):
    """The request may have run; it is not retried unless it is idempotent."""

    status = 502
    outcome = 'unknown'


class RequestTimeout(OutcomeUnknown):
    """No response arrived within the timeout of the route or the caller."""

    status = 504


class StaleWeights(RequestError):
    """No response within the freshness bound was possible in time."""

    status = 504
    outcome = 'stale'


class WeightsSwapped(StaleWeights):
    """The weights changed during generation; the request must be restarted."""
