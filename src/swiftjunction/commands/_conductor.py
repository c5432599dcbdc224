"""The base class of commands that call a conductor."""

import os
import typing

import cleo.commands.command
import cleo.helpers
import httpx
import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import web

CALL_TIMEOUT_SECONDS = 15.0
DEFAULT_CONDUCTOR_ADDRESS = '127.0.0.1:8070'
KEY_VARIABLE = 'SWIFTJUNCTION_KEY'
AUTHORITY_VARIABLE = 'SWIFTJUNCTION_AUTHORITY'


class ConductorCommand(cleo.commands.command.Command):
    """A command that calls a conductor over HTTP."""

    options = [
        cleo.helpers.option(
            'conductor',
            None,
            'Address of a conductor, ip:port.',
            flag=False,
            default=DEFAULT_CONDUCTOR_ADDRESS,
        ),
        cleo.helpers.option(
            'key',
            None,
            f"The operator's key; default: ${KEY_VARIABLE}.",
            flag=False,
        ),
        cleo.helpers.option(
            'authority',
            None,
            'File of the CA certificates for the daemons, which are then '
            f'called over TLS; default: '
            f'${AUTHORITY_VARIABLE}.',
            flag=False,
        ),
        cleo.helpers.option('json', None, 'Print JSON.'),
    ]

    def call_daemon(
        self, method: str, address: str, url: str, content: bytes = b''
    ) -> httpx.Response:
        """Call any daemon, over TLS if CA certificates are given.

        Raises
        ------
        httpx.HTTPError
            If the daemon did not respond.
        """
        authority = self.option('authority') or os.environ.get(
            AUTHORITY_VARIABLE, ''
        )
        tls_context = web.create_client_context(authority)
        return httpx.request(
            method,
            f'{"https" if tls_context else "http"}://{address}{url}',
            content=content,
            headers=self.make_headers(),
            timeout=CALL_TIMEOUT_SECONDS,
            verify=tls_context or True,
            trust_env=False,
        )

    def call_conductor(
        self, method: str, url: str, request_body: object = None
    ) -> dict[str, typing.Any]:
        """Call the conductor and return its decoded response.

        Raises
        ------
        OutcomeUnknown
            If no valid response arrived, or the conductor does not know the
            outcome.
        SwiftjunctionError
            If the conductor is unreachable or refused the call.
        """
        address = self.option('conductor')
        try:
            response = self.call_daemon(
                method,
                address,
                url,
                msgspec.json.encode(request_body) if request_body else b'',
            )
            answer: typing.Any = decoding.decode_json(response.content, object)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise errors.SwiftjunctionError(
                f'request not sent: {error}', step='call', peer=address
            ) from error
        except (httpx.HTTPError, errors.ContentBroken) as error:
            raise errors.OutcomeUnknown(
                f'no valid response: {error}', step='call', peer=address
            ) from error
        if not response.is_success:
            outcome = answer.get('outcome')
            error_class = (
                errors.OutcomeUnknown
                if outcome == 'unknown'
                else errors.SwiftjunctionError
            )
            raise error_class(
                f'{outcome}: {answer.get("message")}',
                step='call',
                peer=address,
            )
        return answer

    def make_headers(self) -> dict[str, str]:
        """Return the headers that authenticate the operator."""
        key = self.option('key') or os.environ.get(KEY_VARIABLE, '')
        return {'authorization': f'Bearer {key}'} if key else {}

    def print_result(self, answer: object, text: str) -> None:
        """Print `text`, or the whole `answer` if JSON was requested."""
        if self.option('json'):
            self.line(msgspec.json.encode(answer).decode())
        else:
            self.line(text)
