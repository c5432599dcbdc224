"""Polls of the peers' statuses, in datagrams or over HTTP.

A datagram takes far less processor time than an HTTP request, which matters
most to the coordinator, as all VMs poll it. A missing reply, however, does not
show whether the peer has stopped, is slow, or only a datagram was lost. Such a
peer is therefore polled again over HTTP, where a refused connection shows that
its process has stopped.
"""

import logging

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction.coordination import _clock
from swiftjunction.coordination import _confirming
from swiftjunction.coordination import _datagrams
from swiftjunction.coordination import _members
from swiftjunction.coordination import _peer
from swiftjunction.coordination import _sharing
from swiftjunction.coordination import _statuses
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import routing
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import web

LOG = logging.getLogger(__name__)

POLL_INTERVAL_SECONDS = 0.5
# How long to wait for a datagram before polling over HTTP.
DATAGRAM_TIMEOUT_SECONDS = 0.2
# A poll takes no longer in total than any other call to a peer.
HTTP_TIMEOUT_SECONDS = _peer.CALL_TIMEOUT_SECONDS - DATAGRAM_TIMEOUT_SECONDS
# Replies to older queries are ignored; a status describes the present.
MAX_REPLY_AGE_ROUNDS = 1
# Exceeds the rounds in a second, so that the first number of a process is
# higher than those of the process before.
ROUND_NUMBERS_PER_SECOND = 1000


class StatusQuery(msgspec.Struct, frozen=True, tag='query'):
    """Datagram that asks a peer for its status.

    Attributes
    ----------
    round_number : int
        The sender's number of the round of polls; the reply repeats it.
    """

    round_number: int


class StatusReply(msgspec.Struct, frozen=True, tag='reply'):
    """Datagram that answers a :class:`StatusQuery`."""

    round_number: int
    status: _statuses.MemberStatus


class PeerPoller:
    """Polls peers for their statuses, and answers their datagrams.

    Parameters
    ----------
    datagrams : PeerDatagrams
        Sends and receives datagrams; its ``run`` must run in a task.
    peers : PeerClients
        HTTP clients for the peers.
    members : MemberTable
        Selects the peers to poll, and receives their statuses.
    feed_sync : FeedSync
        Receives the statuses too, to learn of newer copies.
    get_status : callable
        Returns this VM's status.
    rates : ServerRates, optional
        Receives the request limits that peers know.
    confirmation : FeedConfirmation, optional
        Receives what peers confirm.
    router : Router, optional
        Receives the load of organisations at peers.
    clock : SharedClock, optional
        Receives the times that peers state.
    server_list : FeedConfirmation, optional
        Receives the ages of the lists of servers that peers state; on the
        same clock as `confirmation`.
    supervisor : Supervisor, optional
        Keeps the unexpected error of a peer's poll from the others.
    """

    __slots__ = (
        '_asked_at',
        '_clock',
        '_confirmation',
        '_feed_sync',
        '_get_status',
        '_datagrams',
        '_members',
        '_peers',
        '_rates',
        '_round_number',
        '_router',
        '_polled_by',
        '_server_list',
        '_supervisor',
        '_unanswered',
    )

    def __init__(
        self,
        datagrams: _datagrams.PeerDatagrams,
        peers: web.PeerClients,
        members: _members.MemberTable,
        feed_sync: _sharing.FeedSync,
        get_status: _statuses.StatusSource,
        rates: backends.ServerRates | None = None,
        confirmation: _confirming.FeedConfirmation | None = None,
        router: routing.Router | None = None,
        clock: _clock.SharedClock | None = None,
        server_list: _confirming.FeedConfirmation | None = None,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or supervision.Supervisor(
            telemetry.Metrics()
        )
        self._server_list = server_list
        self._router = router
        self._clock = clock
        self._rates = rates
        self._datagrams = datagrams
        datagrams.listen(StatusQuery, self._answer)
        datagrams.listen(StatusReply, self._receive_reply)
        self._peers = peers
        self._members = members
        self._feed_sync = feed_sync
        self._get_status = get_status
        self._confirmation = confirmation
        self._round_number = int(
            leases.read_boot_clock() * ROUND_NUMBERS_PER_SECOND
        )
        # When each of the last rounds began, on the confirmation's clock.
        self._asked_at: dict[int, float] = {}
        # While this VM knows no peers, the address of one that polled it;
        # empty if none has.
        self._polled_by = ''
        # The peers polled in this round that have not answered, by name.
        self._unanswered: dict[str, _statuses.Member] = {}

    async def run(self) -> None:
        """Poll the selected peers in rounds, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._send_queries()
                if self._polled_by:
                    tasks.start_soon(
                        self._copy_members_isolated, self._polled_by
                    )
                    self._polled_by = ''
                await anyio.sleep(DATAGRAM_TIMEOUT_SECONDS)
                for member in self._unanswered.values():
                    tasks.start_soon(self._poll_isolated, member)
                await anyio.sleep(
                    POLL_INTERVAL_SECONDS - DATAGRAM_TIMEOUT_SECONDS
                )

    async def _send_queries(self) -> None:
        self._round_number += 1
        asked_at = self._read_clock()
        if asked_at is not None:
            self._asked_at[self._round_number] = asked_at
            self._asked_at.pop(
                self._round_number - MAX_REPLY_AGE_ROUNDS - 1, None
            )
        self._unanswered = {}
        query = StatusQuery(self._round_number)
        for member in self._members.select_peers():
            self._unanswered[member.name] = member
            try:
                await self._datagrams.send(query, member.address)
            except ValueError as error:
                LOG.warning(
                    'invalid address of a peer: %s',
                    error,
                    extra={'peer': member.name},
                )
                del self._unanswered[member.name]
                self._members.record_failure(member.name, unsent=True)

    async def _answer(self, query: StatusQuery, sender: str) -> None:
        reply = StatusReply(query.round_number, self._get_status())
        await self._datagrams.send(reply, sender)

        if not self._members.list_peers():
            self._polled_by = sender

    async def _copy_members(self, address: str) -> None:
        """Learn of all VMs from a peer, as the store does not tell them.

        A VM that restarts without reaching the store knows no peer, but those
        that knew it before still poll it.
        """
        feed = self._feed_sync.find(_statuses.MEMBER_PREFIX)
        if feed is not None:
            LOG.info(
                'copying the list of VMs from a peer', extra={'peer': address}
            )
            await self._feed_sync.copy(feed, address)

    async def _receive_reply(self, reply: StatusReply, sender: str) -> None:
        self._handle_reply(reply)

    def _handle_reply(self, reply: StatusReply) -> None:
        age_rounds = self._round_number - reply.round_number
        if age_rounds <= MAX_REPLY_AGE_ROUNDS:
            self._unanswered.pop(reply.status.name, None)
            self._record_status(
                reply.status, self._asked_at.get(reply.round_number)
            )

    async def _copy_members_isolated(self, address: str) -> None:
        await self._supervisor.run_isolated(
            'copy of members',
            lambda: self._copy_members(address),
            peer=address,
        )

    async def _poll_isolated(self, member: _statuses.Member) -> None:
        await self._supervisor.run_isolated(
            'poll', lambda: self._poll_over_http(member), peer=member.name
        )

    async def _poll_over_http(self, member: _statuses.Member) -> None:
        client = _peer.PeerClient(self._peers, member.address)
        asked_at = self._read_clock()
        try:
            status = await _peer.fetch_status(client, HTTP_TIMEOUT_SECONDS)
        except errors.PlatformUnavailable:
            self._members.record_failure(member.name, unsent=True)
        except errors.PlatformError as error:
            LOG.debug('poll of a peer failed: %s', error)
            self._members.record_failure(member.name, unsent=False)
        else:
            if status.name == member.name:
                self._record_status(status, asked_at)

    def _read_clock(self) -> float | None:
        if self._confirmation is None:
            return None
        return self._confirmation.clock()

    def _record_status(
        self, status: _statuses.MemberStatus, asked_at: float | None
    ) -> None:
        self._members.record_status(status)
        self._feed_sync.record_status(status)
        if self._confirmation is not None:
            self._confirmation.record_status(status, asked_at)
        if self._server_list is not None:
            self._server_list.record_status(status, asked_at)
        if self._router is not None and status.flow_rates:
            self._router.record_flow_rates(status.name, status.flow_rates)
        if self._clock is not None:
            self._clock.record_status(status, asked_at)
        if self._rates is not None:
            for statement in status.rates:
                self._rates.merge(statement)
