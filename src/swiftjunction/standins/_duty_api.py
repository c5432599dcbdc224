"""A stand-in for the platform's API for duties."""

import typing

import anyio
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction.standins import _faults

Request = starlette.requests.Request
Response = starlette.responses.Response

# Exceeds the timeout of every client.
UNANSWERED_SECONDS = 60.0
LATE_SECONDS = 2.0


class DutyCall(typing.NamedTuple):
    """A call that was carried out.

    Attributes
    ----------
    at : float
        On the event loop's clock, in seconds.
    subject : tuple of str
        The duty, and for orders the service and the data centre.
    """

    at: float
    subject: tuple[str, ...]
    holder: str
    fencing_token: int
    body: dict[str, typing.Any]


class DutyApiStandin:
    """Takes usage reports and orders of servers, and judges them.

    Parameters
    ----------
    checks_fencing : bool
        Whether calls with an outdated fencing token are refused.

    Attributes
    ----------
    faults : FaultSwitches
        ``crashed``: seconds for which connections are refused.
        ``busy``: number of calls that fail with 503.
        ``many``: number of calls that fail with 429.
        ``lost``: number of calls that are carried out without a response.
        ``late``: number of calls that get no response and are carried out
        later.
        ``silent``: if not 0, no call is carried out or gets a response.
        ``slow``: delay of each call in seconds.
        ``none_left``: number of orders for which there are no servers.
    calls : list of DutyCall
        All calls that were carried out, also refused ones.
    reports : dict of int to dict
        The accepted usage of each window.
    orders : dict of (str, str, bool) to int
        The servers ordered for each service and data centre, spot servers
        apart.
    refused : list of DutyCall
        The calls with an outdated fencing token.
    faulty_calls : list of str
        What a holder must never do: two different reports of a window, one
        fencing token of two holders, and, where fencing is not checked, a
        lower fencing token after a higher one.
    """

    def __init__(self, checks_fencing: bool = True) -> None:
        self.faults = _faults.FaultSwitches(
            'crashed',
            'busy',
            'many',
            'lost',
            'late',
            'silent',
            'slow',
            'none_left',
        )
        self.calls: list[DutyCall] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.orders: dict[tuple[str, str, bool], int] = {}
        self.refused: list[DutyCall] = []
        self.faulty_calls: list[str] = []
        self._checks_fencing = checks_fencing
        self._highest_tokens: dict[tuple[str, ...], int] = {}
        self._holders: dict[tuple[tuple[str, ...], int], str] = {}

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        return starlette.applications.Starlette(
            routes=[
                starlette.routing.Route(path, self._serve, methods=['POST'])
                for path in ('/usage', '/scale')
            ]
        )

    async def _serve(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body())
        if self.faults.get('silent'):
            await anyio.sleep(UNANSWERED_SECONDS)
        if self.faults.consume('busy'):
            return Response(status_code=503)
        if self.faults.consume('many'):
            return Response(status_code=429)
        await anyio.sleep(self.faults.get('slow'))
        if self.faults.consume('late'):
            await anyio.sleep(LATE_SECONDS)
            self._carry_out(request, body)
            await anyio.sleep(UNANSWERED_SECONDS)
        status = self._carry_out(request, body)
        if self.faults.consume('lost'):
            await anyio.sleep(UNANSWERED_SECONDS)
        return Response(status_code=status)

    def _carry_out(self, request: Request, body: dict[str, typing.Any]) -> int:
        subject: tuple[str, ...] = (request.url.path,)
        if 'service' in body:
            subject = (*subject, body['service'], body['zone'])
        call = DutyCall(
            anyio.current_time(),
            subject,
            request.headers['swiftjunction-duty-holder'],
            int(request.headers['swiftjunction-fencing-token']),
            body,
        )
        self.calls.append(call)
        if not self._check_token(call):
            return 409
        if 'service' in body:
            return self._order(body)
        return self._report(body)

    def _check_token(self, call: DutyCall) -> bool:
        token = call.fencing_token
        holder = self._holders.setdefault((call.subject, token), call.holder)
        if holder != call.holder:
            self.faulty_calls.append(
                f'{call.subject}: token {token} of {holder} and {call.holder}'
            )
        highest = self._highest_tokens.get(call.subject, 0)
        self._highest_tokens[call.subject] = max(token, highest)
        if token >= highest:
            return True
        if self._checks_fencing:
            self.refused.append(call)
            return False
        self.faulty_calls.append(
            f'{call.subject}: token {token} after {highest}'
        )
        return True

    def _report(self, body: dict[str, typing.Any]) -> int:
        window, counts = body['window_id'], body['counts']
        if self.reports.setdefault(window, counts) != counts:
            self.faulty_calls.append(f'two reports of window {window}')
        return 200

    def _order(self, body: dict[str, typing.Any]) -> int:
        if self.faults.consume('none_left'):
            return 409
        key = (body['service'], body['zone'], body.get('spot', False))
        self.orders[key] = body['target_groups']
        return 200
