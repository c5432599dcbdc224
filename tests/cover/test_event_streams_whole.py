"""Event streams reach their callers byte for byte, or visibly incomplete."""

import anyio
import hypothesis
import hypothesis.strategies as st
import pytest

from swiftjunction import errors
from swiftjunction.platform.servers import _events
from tests import scripted_relay
from tests import scripted_server

head = scripted_server.make_head
chunks = scripted_server.make_chunks
Scene = scripted_relay.Scene

BYTE_ORDER_MARK = b'\xef\xbb\xbf'
NUMBERED = b'id: 0\ndata: a\n\nid: 1\ndata: b\n\n'
FORMS = {
    'end_mark': NUMBERED + b'data: [DONE]\n\n',
    'named_end': NUMBERED + b'event: end\n\n',
    'no_numbers': b'data: {"a": 1}\n\ndata: {"a": 2}\n\ndata: [DONE]\n\n',
    'comments': b': hello\n\n' + NUMBERED + b': ping\n\n',
    'comment_in_an_event': b'id: 0\n: c\ndata: a\n\n',
    'comment_without_a_blank_line': NUMBERED + b': bye\n',
    'blank_lines': b'\n\n\n' + NUMBERED + b'\n',
    'crlf': NUMBERED.replace(b'\n', b'\r\n'),
    'cr': NUMBERED.replace(b'\n', b'\r'),
    'mixed': b'id: 0\rdata: a\n\r\nid: 1\r\ndata: b\r\rdata: c\n\n',
    'byte_order_mark': BYTE_ORDER_MARK + NUMBERED,
    'mark_within': NUMBERED + BYTE_ORDER_MARK + b'data: c\n\n',
    'other_fields': b'retry: 100\n\nevent: x\nid: 0\nretry: 5\ndata: a\n\n',
    'several_lines': b'id: 0\ndata: a\ndata\ndata:b\ndata:  c\n\n',
    'no_space': b'id:0\ndata:a\n\n',
    'empty_number': b'id\ndata: a\n\nid:\ndata: b\n\n',
    'other_separators': 'id: 0\ndata: a\u2028b\x85c\x0cd\n\n'.encode(),
    'empty': b'',
}


def answer_whole(body, receipt=b'other'):
    return head(receipt=receipt) + chunks(body)


def split(body, size):
    return [body[at : at + size] for at in range(0, len(body), size)]


@pytest.mark.anyio
class TestForms:
    @pytest.mark.parametrize('resumable', [False, True])
    @pytest.mark.parametrize('name', FORMS)
    async def test_a_stream_is_relayed_byte_for_byte(self, name, resumable):
        scene = Scene(answer_whole(FORMS[name]))
        await scene.read(resumable=resumable)
        assert scene.error is None
        assert scene.body == FORMS[name]

    @pytest.mark.parametrize('name', FORMS)
    async def test_so_is_one_whose_bytes_come_one_by_one(self, name):
        scene = Scene(head() + chunks(*split(FORMS[name], 1)))
        await scene.read()
        assert scene.error is None
        assert scene.body == FORMS[name]

    @pytest.mark.parametrize('resumable', [False, True])
    async def test_a_stream_that_ends_inside_an_event_is_incomplete(
        self, resumable
    ):
        for rest in (b'id: 2\ndata: c\n', b'data: [DONE]\n', b'event: x'):
            scene = Scene(answer_whole(NUMBERED + rest))
            await scene.read(resumable=resumable)
            assert scene.error is not None
            assert scene.body == NUMBERED


@pytest.mark.anyio
class TestResumedStreams:
    """The first server breaks off; the second one has the rest."""

    FIRST = b'id: 0\ndata: a\n\n'
    SECOND = b'id: 1\ndata: b\n\n'
    USAGE = b'data: usage\n\n'
    DONE = b'data: [DONE]\n\n'

    async def read(self, sent, *rests):
        scene = Scene(
            head(receipt=b'first') + chunks(sent, complete=False),
            *(answer_whole(rest) for rest in rests),
        )
        await scene.read()
        return scene

    async def test_the_end_mark_comes_from_the_server_that_ends_the_stream(
        self,
    ):
        scene = await self.read(self.FIRST, self.SECOND + self.DONE)
        assert scene.error is None
        assert scene.body == self.FIRST + self.SECOND + self.DONE
        assert scene.get_receipt() == 'first'

    async def test_an_end_mark_alone_may_be_the_rest(self):
        scene = await self.read(self.FIRST + self.SECOND, self.DONE)
        assert scene.error is None
        assert scene.body == self.FIRST + self.SECOND + self.DONE
        assert scene.servers[1].positions == [b'1']

    async def test_what_the_caller_has_without_a_number_is_not_repeated(self):
        sent = self.FIRST + self.USAGE
        scene = await self.read(sent, self.USAGE + self.SECOND + self.DONE)
        assert scene.error is None
        assert scene.body == sent + self.SECOND + self.DONE
        scene = await self.read(sent + self.DONE, self.USAGE + self.DONE)
        assert scene.error is None
        assert scene.body == sent + self.DONE

    @pytest.mark.parametrize(
        'rest',
        [
            b'data: other\n\n' + SECOND,
            SECOND + DONE,
            b'',
            b': ping\n\n',
        ],
        ids=['other', 'none', 'nothing', 'comment'],
    )
    async def test_parts_of_two_runs_are_not_joined(self, rest):
        sent = self.FIRST + self.USAGE
        scene = await self.read(sent, rest)
        assert scene.error is not None
        assert scene.body == sent + (rest if rest.startswith(b':') else b'')

    async def test_a_third_server_may_repeat_what_the_second_one_did_not(self):
        sent = self.FIRST + self.USAGE
        rest = self.USAGE + self.SECOND + self.DONE
        scene = await self.read(sent, self.SECOND, rest)
        assert scene.error is None
        assert scene.body == sent + self.SECOND + self.DONE

    async def test_a_stream_without_numbers_begins_again(self):
        whole = FORMS['no_numbers']
        for size in range(1, len(whole)):
            scene = await self.read(whole[:size], whole)
            assert scene.error is None
            assert scene.body == whole
            assert scene.servers[1].positions == [b'']

    async def test_a_byte_order_mark_is_sent_once(self):
        rest = BYTE_ORDER_MARK + self.SECOND
        scene = await self.read(BYTE_ORDER_MARK + self.FIRST, rest)
        assert scene.error is None
        assert scene.body == BYTE_ORDER_MARK + self.FIRST + self.SECOND

    async def test_a_mark_within_the_rest_stays(self):
        rest = self.SECOND + BYTE_ORDER_MARK + self.DONE + self.DONE
        scene = await self.read(self.FIRST, rest)
        assert scene.error is None
        assert scene.body == self.FIRST + rest

    async def test_comments_may_precede_the_first_event(self):
        comment = b': ping\n\n'
        scene = await self.read(comment, comment + self.FIRST)
        assert scene.error is None
        assert scene.body == comment + comment + self.FIRST
        assert scene.get_receipt() == 'first'


@pytest.mark.anyio
class TestTime:
    """Comments are relayed at once, and are no progress."""

    @pytest.mark.parametrize('resumable', [False, True])
    async def test_comments_alone_end_the_stream_in_time(
        self, resumable, monkeypatch
    ):
        async def send(stream):
            while True:
                await stream.send(chunks(b': ping\n\n', complete=False))
                await anyio.sleep(0.05)

        scene = Scene(head())
        scene.servers[0].go_on = send
        started_at = anyio.current_time()
        await scene.read(
            resumable=resumable, max_attempts=1, deadline_seconds=2.0
        )
        seconds = anyio.current_time() - started_at
        assert scene.error is not None
        assert scene.body.startswith(b': ping\n\n: ping\n\n')
        assert seconds < 3.0
        # Another server could still take the stream up after 1.2 s.
        assert isinstance(scene.error, errors.RequestTimeout) != resumable


BLOCKS = st.sampled_from(
    [
        b'data: x\n\n',
        b'data: x\ndata: y\n\n',
        b'event: e\ndata: z\n\n',
        b'event: e\n\n',
        b': ping\n\n',
        b'retry: 10\n\n',
        b'\n',
    ]
)
LINE_ENDS = st.sampled_from([b'\n', b'\r\n', b'\r'])


@st.composite
def runs(draw):
    """Draw the blocks of several runs with the same numbered events."""
    count = draw(st.integers(0, 4))
    places = st.lists(BLOCKS, max_size=2)
    same = [draw(places) for _ in range(count + 1)]
    drawn = []
    for _ in range(draw(st.integers(1, 3))):
        line_end = draw(LINE_ENDS)
        differing = draw(st.integers(0, 2 * count + 1))
        blocks = []
        for number in range(count + 1):
            if number:
                event = b'id: %d\ndata: n%d\n\n' % (number, number)
                blocks.append(event)
            blocks += draw(places) if number == differing else same[number]
        drawn.append([block.replace(b'\n', line_end) for block in blocks])
    return drawn


def take_rest(blocks, position):
    """Return the blocks that follow a numbered event."""
    if not position:
        return blocks
    begins = [b'id: %s%s' % (position, end) for end in (b'\n', b'\r')]
    for index, block in enumerate(blocks):
        if block.startswith(tuple(begins)):
            return blocks[index + 1 :]
    return []


def list_events(body):
    """Return the events of a body with LF, without comments."""
    body = body.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
    parser = _events.EventParser(0, 'e')
    blocks = [*parser.feed(body), *parser.finish()]
    return [block.frame for block in blocks if block.is_event]


@hypothesis.given(st.lists(BLOCKS, max_size=8), LINE_ENDS, st.data())
@hypothesis.settings(deadline=None)
def test_the_blocks_of_any_split_are_the_stream(blocks, line_end, data):
    body = b''.join(blocks).replace(b'\n', line_end)
    event_count = len(list_events(body))
    parser = _events.EventParser(0, 'e')
    parts = []
    while body:
        size = data.draw(st.integers(1, len(body)))
        parts += parser.feed(body[:size])
        body = body[size:]
    parts += parser.finish()
    assert b''.join(part.frame for part in parts) == b''.join(blocks).replace(
        b'\n', line_end
    )
    assert sum(part.is_event for part in parts) == event_count


def split_places(body):
    """Return the events between two numbered ones, for each place."""
    places = [[]]
    for event in list_events(body):
        if b'id: ' in event:
            places.append([])
        places[-1].append(event)
    return places


@hypothesis.given(
    drawn=runs(),
    share=st.floats(0, 1),
    size=st.integers(1, 40),
    resumable=st.booleans(),
)
@hypothesis.settings(deadline=None, max_examples=150)
def test_what_the_caller_has_is_exact_or_visibly_incomplete(
    drawn, share, size, resumable
):
    """All servers but the last one break off, each at some byte."""

    def make_answer(index):
        def answer(position):
            rest = b''.join(take_rest(drawn[index], position))
            whole = head() + chunks(*split(rest, size))
            if index == len(drawn) - 1:
                return whole
            return whole[: int(share * len(whole))]

        return answer

    async def play():
        scene = Scene(*(make_answer(index) for index in range(len(drawn))))
        await scene.read(resumable=resumable)
        return scene

    scene = anyio.run(play)
    asked = [server for server in scene.servers if server.positions]
    texts = [split_places(b''.join(run)) for run in drawn[: len(asked)]]
    received = split_places(scene.body)
    if scene.error is None:
        assert len(received) == len(texts[-1])
        assert received[-1] == texts[-1][-1]
        for place, events in enumerate(received):
            assert any(events == text[place] for text in texts)
        if len(asked) == 1:
            assert scene.body == b''.join(drawn[0])
        return
    for place, events in enumerate(received):
        assert any(events == text[place][: len(events)] for text in texts)
