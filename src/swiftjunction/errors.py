"""The exception tree.

Every error says at which step it arose and with which peer, so that a log
line is enough to start an investigation.
"""

__all__ = [
    'AnswerBroken',
    'BackendError',
    'BackendRefused',
    'BackendUnreachable',
    'HistoryLost',
    'KeyRefused',
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
    'SwiftjunctionError',
    'WeightsSwapped',
    'WriteUncertain',
]


class SwiftjunctionError(Exception):
    """Base of every error this project raises.

    Parameters
    ----------
    message : str
        What happened, for a person.
    step : str
        The step of the work at which the error arose.
    peer : str
        The peer with which it arose; empty where no peer was involved.
    """

    def __init__(self, message: str, *, step: str = '', peer: str = ''):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        place = ', '.join(
            f'{name} {value}'
            for name, value in (('step', self.step), ('peer', self.peer))
            if value
        )
        return f'{self.message} ({place})' if place else self.message


class SettingsError(SwiftjunctionError):
    """The settings are wrong; ``problems`` has one line for each mistake."""

    def __init__(self, problems: list[str]):
        super().__init__('; '.join(problems), step='settings')
        self.problems = problems


class PlatformError(SwiftjunctionError):
    """A call of the platform did not succeed."""


class PlatformUnavailable(PlatformError):
    """The platform refused or could not be reached: nothing was changed."""


class HistoryLost(PlatformError):
    """The platform no longer has the changes since that revision."""


class WriteUncertain(PlatformError):
    """A write was sent and its answer was lost: read back to find out."""


class RevisionConflict(PlatformError):
    """The object is not at the version that the write was conditional on."""


class ObjectMissing(PlatformError):
    """The object does not exist."""


class ObjectBroken(PlatformError):
    """The object does not hold what its key says; an operator must look."""


class ObjectTooLarge(PlatformError):
    """The value is over the platform's limit of one megabyte."""


class KeyRefused(SwiftjunctionError):
    """The key given does not allow this; ask the team for one that does."""


class LeaseLost(SwiftjunctionError):
    """The lease is not held, or not with enough margin to act under it."""


class LinkError(SwiftjunctionError):
    """A message to another daemon could not be sent or understood."""


class BackendError(SwiftjunctionError):
    """A backend server failed a request."""


class BackendUnreachable(BackendError):
    """No byte of the request can have reached the backend server."""


class BackendRefused(BackendError):
    """The backend server itself said that it did not run the request."""


class AnswerBroken(BackendError):
    """The answer ended early: whether the request ran is unknown."""


class RequestError(SwiftjunctionError):
    """A request ended without a whole answer.

    Parameters
    ----------
    retry_after_seconds : float
        When the caller may ask again.
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
    """The request itself is wrong; sending it again will not help."""

    status = 400
    outcome = 'not-run'


class RouteMissing(RequestInvalid):
    """No route leads from the host and path of the request to a service."""

    status = 404


class StepEnded(RequestError):
    """The trainer has acknowledged every sample of the step."""

    status = 410
    outcome = 'complete'


class StepIncomplete(RequestError):
    """The step ended, by its deadline or a cancel, before it was whole."""

    status = 410
    outcome = 'incomplete'


class StepElsewhere(RequestError):
    """Another process owns the step; ``peer`` is its address."""

    status = 307
    outcome = 'not-run'


class NotRun(RequestError):
    """The request was refused and did not run on any backend server."""

    status = 503
    outcome = 'not-run'


class ServersBusy(NotRun):
    """Every backend server that could run the request is at its limit."""


class PoisonRefused(RequestError):
    """The request crashed several backend servers and is not run again."""

    status = 422
    outcome = 'not-run'


class SampleFailed(BackendError):
    """A backend server ran the request and answered with a failure."""


class SampleRefused(BackendError):
    """The backend server says that the request can never be done."""


class ServerCrashed(AnswerBroken):
    """The backend server ended, or lost its state, while it ran a request."""


class OutcomeUnknown(RequestError):
    """The request may have run; a non-idempotent one is not repeated."""

    status = 502
    outcome = 'unknown'


class RequestTimeout(OutcomeUnknown):
    """No answer came within the time that the route or the caller allows."""

    status = 504


class StaleWeights(RequestError):
    """No answer within the freshness bound could be given in time."""

    status = 504
    outcome = 'stale'


class WeightsSwapped(StaleWeights):
    """The weights changed under an answer, which is to be begun anew."""
