"""Streams that broke off, and what the next server answers."""

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import requests
from tests import scripted_relay
from tests import scripted_server

pytestmark = pytest.mark.anyio

EVENT_COUNT = 6
BROKEN_AFTER = 2
head = scripted_server.make_head
events = scripted_server.make_events
chunks = scripted_server.make_chunks
Scene = scripted_relay.Scene

WHOLE = events(*range(EVENT_COUNT))
BEGUN = events(*range(BROKEN_AFTER + 1))
REST = events(*range(BROKEN_AFTER + 1, EVENT_COUNT))
BREAKS_OFF = head(receipt=b'first') + chunks(BEGUN, complete=False)
GOES_ON = head() + chunks(REST)

COMMENTS = b': ping\n\n: ping\n\n'
NOT_EXECUTED = b'Swiftjunction-Not-Executed: 1\r\n'
TEXT = b'Content-Type: application/json\r\n'
FAILURE = b'{"error": "out of memory"}'
FAILED_BODY = b'Content-Length: %d\r\n\r\n%s' % (len(FAILURE), FAILURE)


def fail(status, *headers):
    lines = b''.join([scripted_server.SIGNED % b'x', TEXT, *headers])
    return b'HTTP/1.1 %s\r\n%s%s' % (status, lines, FAILED_BODY)


def answer_events(*numbers):
    return head() + chunks(events(*numbers))


# The request has not run.
REFUSALS = {
    'refused': fail(b'503 Service Unavailable', NOT_EXECUTED),
    'another': fail(b'421 Misdirected Request'),
}
# The server has answered, but not with the rest of the stream.
FAILURES = {
    'error': fail(b'500 Internal Server Error'),
    'timeout': fail(b'504 Gateway Timeout'),
    'invalid': fail(b'422 Unprocessable Content'),
    'error_of_events': head(
        scripted_server.EVENT_STREAM,
        scripted_server.CHUNKED,
        status=b'500 Internal Server Error',
    )
    + chunks(REST),
    'other_success': head(
        scripted_server.EVENT_STREAM,
        scripted_server.CHUNKED,
        status=b'206 Partial Content',
    )
    + chunks(REST),
    'other_type': head(TEXT, b'Content-Length: %d\r\n' % len(FAILURE))
    + FAILURE,
    'similar_type': head(
        b'Content-Type: text/event-stream-of-another-kind\r\n',
        scripted_server.CHUNKED,
    )
    + chunks(REST),
    'no_type': head(scripted_server.CHUNKED) + chunks(REST),
    'no_content': head(scripted_server.EVENT_STREAM, status=b'204 No Content'),
    'encoded': head(
        scripted_server.EVENT_STREAM,
        scripted_server.CHUNKED,
        b'Content-Encoding: gzip\r\n',
    )
    + chunks(REST),
    'no_events': head() + chunks(),
    'empty_body': head(scripted_server.EVENT_STREAM, b'Content-Length: 0\r\n'),
    'comments': head() + chunks(COMMENTS),
}
# The answer is invalid.
BROKEN = {
    'unnamed_error': b'HTTP/1.1 500 Error\r\n' + TEXT + FAILED_BODY,
    'unconfirmed_refusal': fail(b'503 Service Unavailable'),
    'unsigned': (
        b'HTTP/1.1 200 OK\r\n'
        + scripted_server.NAMED
        + scripted_server.EVENT_STREAM
        + scripted_server.CHUNKED
        + b'\r\n'
        + chunks(REST)
    ),
    'head_cut_off': head()[:40],
    'no_http': FAILURE,
    'nothing': b'',
    'event_cut_off': head() + chunks(REST[:5], complete=False),
    'event_without_end': head() + chunks(REST[:5]),
    'again_from_the_first': head() + chunks(WHOLE),
    'goes_back': answer_events(1, 2, 3, 4, 5),
    'repeats': answer_events(2, 3, 4, 5),
    'skips': answer_events(4, 5),
    'negative': answer_events(-1),
    'no_number': head() + chunks(b'id: x\ndata: x\n\n'),
    'less_than_its_length': head(
        scripted_server.EVENT_STREAM, b'Content-Length: 1000\r\n'
    )
    + REST[:5],
}
ANSWERS = {**FAILURES, **BROKEN}
# What the caller gets of such an answer.
RELAYED = {'comments': COMMENTS}


class TestStreamsThatBegan:
    @pytest.mark.parametrize('name', [*ANSWERS, *REFUSALS])
    async def test_the_next_server_goes_on_after_an_answer_without_the_rest(
        self, name
    ):
        # The body of a failure must not follow the events as their end.
        answer = {**ANSWERS, **REFUSALS}[name]
        scene = Scene(BREAKS_OFF, answer, GOES_ON)
        await scene.read()
        assert scene.error is None
        assert scene.body == BEGUN + RELAYED.get(name, b'') + REST
        assert scene.stream.status == 200
        assert scene.get_receipt() == 'first'
        assert scene.servers[2].positions == [b'2']

    @pytest.mark.parametrize('name', [*ANSWERS, *REFUSALS])
    async def test_without_another_server_the_stream_ends_as_incomplete(
        self, name
    ):
        answer = {**ANSWERS, **REFUSALS}[name]
        scene = Scene(BREAKS_OFF, answer)
        await scene.read()
        assert scene.body == BEGUN + RELAYED.get(name, b'')
        assert isinstance(scene.error, errors.OutcomeUnknown)

    @pytest.mark.parametrize('name', ANSWERS)
    async def test_the_attempts_of_a_stream_are_limited(self, name):
        scene = Scene(BREAKS_OFF, ANSWERS[name], GOES_ON)
        await scene.read(max_attempts=2)
        assert scene.body == BEGUN + RELAYED.get(name, b'')
        assert scene.error is not None
        assert scene.servers[2].positions == []

    async def test_a_resumed_stream_may_have_another_receipt_and_length(self):
        rest = head(
            scripted_server.EVENT_STREAM,
            b'Content-Length: %d\r\n' % len(REST),
            receipt=b'second',
        )
        scene = Scene(BREAKS_OFF, rest + REST)
        await scene.read()
        assert scene.error is None
        assert scene.body == WHOLE
        assert scene.get_receipt() == 'first'

    async def test_a_resumed_stream_may_have_comments_and_several_lines(self):
        parts = events(3), b': ping\n\n', b'id: 4\ndata: a\ndata: b\n\n'
        scene = Scene(BREAKS_OFF, head() + chunks(*parts, events(5)))
        await scene.read()
        assert scene.error is None
        assert scene.body == BEGUN + b''.join(parts) + events(5)

    @pytest.mark.parametrize('line_end', [b'\r\n', b'\r'])
    async def test_a_resumed_stream_may_have_other_line_ends(self, line_end):
        rest = REST.replace(b'\n', line_end)
        scene = Scene(BREAKS_OFF, head() + chunks(rest))
        await scene.read()
        assert scene.error is None
        assert scene.body == BEGUN + rest

    async def test_events_split_at_any_byte_are_put_together(self):
        parts = [bytes([byte]) for byte in REST]
        scene = Scene(BREAKS_OFF, head() + chunks(*parts))
        await scene.read()
        assert scene.error is None
        assert scene.body == WHOLE

    @pytest.mark.parametrize('resets', [False, True])
    async def test_what_precedes_a_fault_in_the_rest_is_relayed_once(
        self, resets
    ):
        for parts in (
            (events(3), events(4)[:4]),
            (events(3, 3, 4, 5),),
            (events(3, 1, 2, 3, 4, 5),),
            (events(3, 5),),
        ):
            broken = head() + chunks(*parts, complete=False)
            scene = Scene(
                BREAKS_OFF,
                broken,
                head() + chunks(events(4, 5)),
                resets=resets,
            )
            await scene.read()
            assert scene.error is None
            assert scene.body == WHOLE
            assert scene.servers[2].positions == [b'3']

    async def test_a_stream_whose_numbers_go_back_is_not_complete(self):
        for numbers in ((0, 1, 1, 2), (0, 1, 2, 0, 1, 2)):
            scene = Scene(answer_events(*numbers))
            await scene.read(resumable=False)
            assert scene.error is not None

    async def test_the_connection_of_an_answer_without_the_rest_is_closed(
        self,
    ):
        # Otherwise its server might go on for nothing.
        answer = head(TEXT, scripted_server.CHUNKED) + chunks(
            FAILURE, complete=False
        )
        scene = Scene(BREAKS_OFF, answer, GOES_ON)
        scene.servers[1] = scripted_server.ScriptedServer(
            's1', answer, waits=True
        )
        async with scene.run() as relay:
            await scene.read_from(relay)
            with anyio.fail_after(1):
                await scene.servers[1].closed.wait()
        assert scene.body == WHOLE

    @pytest.mark.parametrize('name', FAILURES)
    async def test_a_server_that_answers_properly_is_not_ejected(self, name):
        scene = Scene(BREAKS_OFF, FAILURES[name], GOES_ON)
        await scene.read()
        assert scene.has_failures(0)
        assert not scene.has_failures(1)


class TestStreamsBeforeTheirFirstEvent:
    """The first server has sent its head only, so the caller has nothing."""

    HEAD_ONLY = head(receipt=b'first') + chunks(complete=False)

    async def test_the_answer_of_the_next_server_is_relayed_whole(self):
        scene = Scene(self.HEAD_ONLY, FAILURES['error'])
        await scene.read()
        assert scene.stream.status == 500
        assert scene.body == FAILURE
        assert scene.get_receipt() == 'x'

    async def test_the_next_stream_has_its_own_head(self):
        scene = Scene(self.HEAD_ONLY, head() + chunks(WHOLE))
        await scene.read()
        assert scene.error is None
        assert scene.body == WHOLE
        assert scene.get_receipt() == 'other'

    async def test_a_failure_that_breaks_off_is_not_joined(self):
        broken = FAILURES['error'][:-5]
        scene = Scene(broken, head() + chunks(WHOLE))
        await scene.read()
        assert scene.stream.status == 200
        assert scene.body == WHOLE

    async def test_a_failure_of_events_that_breaks_off_is_not_resumed(self):
        failure = head(
            scripted_server.EVENT_STREAM,
            scripted_server.CHUNKED,
            status=b'500 Internal Server Error',
        )
        scene = Scene(failure + chunks(BEGUN, complete=False), GOES_ON)
        await scene.read()
        assert scene.servers[1].positions == [b'']


class TestStreamsThatCallersResume:
    async def read(self, *answers):
        scene = Scene(*answers)
        origin = requests.StreamOrigin('s', 'v1')
        await scene.origins.record('first', origin, 60.0)
        point = requests.ResumePoint(BROKEN_AFTER, 'first', frozenset(['s']))
        await scene.read(resume=point)
        return scene

    async def test_the_rest_is_relayed_with_its_own_head(self):
        scene = await self.read(GOES_ON)
        assert scene.error is None
        assert scene.body == REST
        assert scene.get_receipt() == 'other'

    async def test_the_failure_of_a_server_is_the_answer(self):
        scene = await self.read(FAILURES['error'])
        assert scene.stream.status == 500
        assert scene.body == FAILURE

    async def test_nothing_after_the_last_event_is_complete(self):
        scene = await self.read(FAILURES['no_events'])
        assert scene.error is None
        assert scene.stream.status == 200
        assert scene.body == b''

    @pytest.mark.parametrize(
        'name',
        [
            *BROKEN,
            'other_type',
            'similar_type',
            'no_type',
            'encoded',
        ],
    )
    async def test_a_success_without_the_rest_is_not_relayed(self, name):
        scene = await self.read(ANSWERS[name], GOES_ON)
        assert scene.error is None
        assert scene.body == REST
        alone = await self.read(ANSWERS[name])
        assert isinstance(alone.error, errors.OutcomeUnknown)
        assert alone.body == b''
