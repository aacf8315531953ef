"""One client connection: its socket, a ring buffer a direction, and its reader and writer greenlets.

The protocol is up to a front, which provides a session (see net.session). Which connections there are, and
when they are ended, is up to the listener.
"""

from __future__ import annotations

import contextlib
import logging
import time
import weakref
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent import GreenletExit
from gevent.event import Event

from stackrouter.core.gate import ClientState
from stackrouter.core.memory import MemoryLease
from stackrouter.errors import log_unexpected
from stackrouter.net.client_socket import ClientSocket
from stackrouter.net.delivery import WRITE_STALL_S, Delivery
from stackrouter.net.ring import INITIAL_BYTES, Ring
from stackrouter.net.session import INBOX_BYTES, MalformedError

if TYPE_CHECKING:
    from stackrouter.net.listener import Listener

log = logging.getLogger(__name__)

OUTBOX_BYTES = 4 * 1024  # collects short answers; what is longer is written without a copy
READ_BYTES_PER_TURN = 64 * 1024  # then all others have their turn, however much the client has sent
MAX_MEMORY_WAIT_S = 0.5  # how long a client with a large request waits for memory to read it
MAX_EXIT_WRITE_S = 0.01  # for the refusal of a request that is half read when the process exits
MAX_REQUEST_PAUSE_S = 0.6  # within a request, after which its client counts as stopped
MAX_REQUEST_S = 10.0  # for a whole request, however slowly it comes
UNSENT_POLL_S = 0.01  # how soon after its last bytes were sent a connection is closed at a drain or a stop
LINGER_BYTES = 512 * 1024  # discarded at most after sending has been shut down
# How often a paused client is checked for a hangup: 0.1 s after it left, no new work may start for it.
HANGUP_POLL_S = 0.04
# A partial request may be about to be completed, so its connection is not closed yet to make room.
PARTIAL_REQUEST_GRACE_S = 0.5
# A new connection may be about to send its first request, so it is not closed yet to make room.
NEW_CONNECTION_GRACE_S = 0.1


class Connection:
    """One client connection: its socket, ring buffers, session, and reader and writer greenlets."""

    def __init__(self, sock: ClientSocket, listener: Listener) -> None:
        self._sock, self.listener = sock, listener
        self.inbox, self.outbox = Ring(INITIAL_BYTES), Ring(OUTBOX_BYTES)
        self._inbox_leases: tuple[MemoryLease, ...] = ()  # for the part of the inbox over INITIAL_BYTES
        self._unsent = memoryview(b"")  # the rest of an answer that is not in the outbox yet
        self.active_at = self.request_since = time.monotonic()
        self.ending = self.closed = self._partial = self._requested = self._input_paused = False
        self.lingering_since: float | None = None  # when sending was shut down; no requests are taken after
        self._discarded = self._read_in_turn = 0
        self.delivery = Delivery(sock, self.active_at)
        self._wake, self._output_progress = Event(), Event()
        # Weak, so that a closed connection is freed at once and not only by the cyclic garbage collector.
        self_ref = weakref.ref(self)

        def wake() -> None:
            if (connection := self_ref()) is not None:
                connection.wake()

        def refuses_pipelined() -> bool:
            connection = self_ref()
            return connection is not None and connection._refuses_pipelined()

        self.session = listener.session(wake)
        self.session.client_hung_up = sock.hung_up
        self.session.refuses_pipelined = refuses_pipelined
        # The writer is started with the first answer: many connections never send a request.
        self._greenlets = [gevent.spawn(self._guard, self._read)]

    def _writing(self) -> bool:
        """Whether an answer has been begun and not yet been written whole."""
        return bool(len(self.outbox) or self._unsent)

    def answered(self) -> bool:
        return not self.session.pending() and not self._writing()

    def settled(self) -> bool:
        """Every request taken has its answer, and no complete request is queued behind paused reading."""
        return self.answered() and not self._input_paused

    def idle(self) -> bool:
        return self.settled() and not len(self.inbox)

    def quiescent(self) -> bool:
        """No answer is owed or unsent, no request is half read, and the socket holds none."""
        return self.idle() and not self.delivery.unsent() and not self._sock.readable()

    def _refuses_pipelined(self) -> bool:
        unanswered = not self.answered() or self.delivery.unsent()
        return unanswered and self.listener.refuses_pipelined()

    def _closes_when_sent(self) -> bool:
        """Whether a drain or a stop closes it once its answers are sent, which has to be looked for."""
        closing = self.listener.stopping_since is not None or self.listener.drain.since is not None
        return closing and self.delivery.unsent()

    def stalled(self, now: float) -> bool:
        """Whether a limit is exceeded: for clients that never send or finish a request or read an answer."""
        timeouts = self.listener.timeouts
        if self._writing():
            return self.delivery.stalled(now, self.active_at)
        if not self.settled():
            return False  # requests taken are answered first, whatever partial one follows
        if not self._requested or len(self.inbox):
            return not self.ending and self._request_overdue(now)
        if not self.idle() or now - self.active_at <= timeouts.idle_s or self._sock.readable():
            return False
        return self.delivery.complete() or self.delivery.stalled(now, self.active_at)

    def _request_overdue(self, now: float) -> bool:
        """Whether the client takes too long to complete a request: it has stopped, or will never end."""
        age_s = now - self.request_since
        stopped = now - self.active_at > MAX_REQUEST_PAUSE_S
        return age_s > MAX_REQUEST_S or (stopped and age_s > self.listener.timeouts.request_s)

    def closable_for_room(self, now: float) -> bool:
        """Whether it may be closed to make room: no answer is owed and no request is about to arrive."""
        partial_counts = now - self.active_at <= PARTIAL_REQUEST_GRACE_S
        return not self.ending and self.listener.gate.may_close(self._state(now, partial_counts)) is None

    def drained(self, now: float) -> bool:
        """Whether a drain closes it now: no answer is owed and nothing is on its way (see ops.drain)."""
        drain = self.listener.drain
        if drain.since is None or self.ending:
            return False
        owed = not self.settled() or self.delivery.unsent()
        readable = not owed and (len(self.inbox) > 0 or self._sock.readable())
        return drain.should_close(now, owed=owed, readable=readable,
                                  asked=self._requested, active_at=self.active_at)  # fmt: skip

    def _is_new(self, now: float) -> bool:
        return not self._requested and now - self.active_at <= NEW_CONNECTION_GRACE_S

    def _state(self, now: float, partial_counts: bool = True) -> ClientState:
        """The state that the gate decides by. `partial_counts`: count a partial request as unread bytes."""
        owed = not self.settled()
        unread = not owed and ((partial_counts and len(self.inbox) > 0) or self._sock.readable())
        unsent = not owed and self.delivery.unsent()
        return ClientState(owed, unread, self._is_new(now), unsent)

    def finish(self) -> None:
        """At a stop: end the connection once no answer is owed and nothing is on its way."""
        if not self.ending and not self.delivery.unsent():
            self.end()

    def end_at_exit(self) -> None:
        """The process is about to exit: end the connection unless an answer is owed, also within a request.

        Its client may complete such a request before it sees the end, so it is refused.
        """
        if not self.settled():
            return
        on_its_way = len(self.inbox) > 0 or self._sock.readable()
        if on_its_way and self.listener.busy and not self.ending:
            self.listener.counters.add("clients.refused_at_exit")
            self.ending = True
            with contextlib.suppress(OSError), gevent.Timeout(MAX_EXIT_WRITE_S, TimeoutError()):
                self._sock.write_all(self.listener.busy)
        self.end(planned=False)

    def end(self, planned: bool = True) -> None:
        """End the connection with a lingering close, if the gate allows it.

        `planned`: not while received bytes are unread; else the stream cannot be parsed, or the client never
        completes a request.

        Sending is shut down, and what still arrives is discarded until the client closes too, or has had the
        time to (see `linger_over`). Closing with unread bytes would reset the connection, and the last answer
        could be lost with it. A request that crosses the close is never taken: its client sees the end
        without an answer and sends it again.
        """
        if self.closed or self.lingering_since is not None:
            return
        now, gate = time.monotonic(), self.listener.gate
        denial = gate.may_close(self._state(now)) if planned else gate.may_break(self._state(now))
        if denial is not None:
            self.listener.counters.add(f"denied.close_{denial.value}")
            return
        self.lingering_since = now
        self.ending = True
        self.session.on_disconnect()
        try:
            self._sock.end_sending()
        except OSError:
            self.close()
            return
        self.listener.linger(self)
        self._output_progress.set()

    def linger_over(self, now: float) -> bool:
        """Whether a lingering connection is to be closed."""
        return self.delivery.linger_over(now, self.active_at)

    def close(self) -> None:
        """Close both directions at once."""
        if self.closed:
            return
        self.closed = True
        self.listener.forget(self)
        self.session.on_disconnect()
        self._sock.close()
        for greenlet in self._greenlets:
            if greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)

    def _guard(self, work: Callable[[], None]) -> None:
        """Run a greenlet's work; a defect in one connection never ends the program."""
        try:
            work()
        except (OSError, GreenletExit):
            pass
        except Exception:
            self.listener.counters.add("errors.connection")
            log_unexpected(log, "client connection")
        else:
            if work == self._write and self.lingering_since is not None:
                return  # the reader closes it
        self.close()

    def _read(self) -> None:
        while not self.closed:
            self._input_paused = self.session.full()
            if self._input_paused:
                # Backpressure: what the client sends meanwhile stays in the socket.
                if not self._wait_for_output(lambda: not self.session.full()):
                    return
                self._wake.set()  # the writer may have seen all answered while reading was still paused
            elif not self.inbox.room or self.session.min_inbox_bytes > self.inbox.bound:
                if self.inbox.bound >= INBOX_BYTES:
                    return self._end_with_reply(b"")  # larger than any valid request
                if not self._extend_inbox():
                    return
                continue
            elif not self._may_read():
                continue
            elif not self._read_some():
                return
            if self.lingering_since is not None:
                return self._discard()
            held = len(self.inbox)
            try:
                self.session.received(self.inbox)
            except MalformedError as error:
                self.listener.counters.add("clients.malformed")
                return self._end_with_reply(error.final_reply)
            if not len(self.inbox):
                self.inbox.release()
                self._inbox_leases = ()
            self._touch()
            taken = len(self.inbox) < held
            if taken or (self._requested and not self._partial):  # a request was taken, or a later one began
                self.request_since = self.active_at
            self._requested = self._requested or taken
            self._partial = len(self.inbox) > 0

    def _may_read(self) -> bool:
        """Wait for bytes while answers are owed; False: reading has been paused meanwhile.

        What is read behind an answer that is begun meanwhile, and that then breaks off, would be lost.
        """
        if self.session.pending():
            self._sock.wait_readable()
        return self.lingering_since is not None or not self.session.full()

    def _read_some(self) -> int:
        """Read once into the inbox; return the byte count, 0 if the client ended sending.

        A read that need not wait lets no other greenlet run, so it yields after `READ_BYTES_PER_TURN`: else
        a client that sends at full speed holds up the nodes' answers to all others.
        """
        if self._read_in_turn >= READ_BYTES_PER_TURN:
            self._read_in_turn = 0
            gevent.sleep(0)
        count = self._sock.read(self.inbox)
        self._read_in_turn += count
        return count

    def _extend_inbox(self) -> bool:
        """Extend the inbox for a request that it cannot hold.

        False: there was no memory for it in `MAX_MEMORY_WAIT_S`, and the connection has been ended with the
        busy reply; or the client has disconnected.
        """
        known = self.session.min_inbox_bytes
        bound = min(known, INBOX_BYTES) if known > self.inbox.bound else INBOX_BYTES
        lease = self._wait_for_memory(bound - self.inbox.bound)
        if lease is not None:
            self._inbox_leases += (lease,)
            self.inbox.reserve(bound)
        elif self.lingering_since is not None:
            self._discard()
        elif not self._sock.hung_up():
            self.listener.counters.add("clients.over_memory")
            self._end_with_reply(self.listener.busy)
        return lease is not None

    def _wait_for_memory(self, size: int) -> MemoryLease | None:
        """Wait without reading for `size` bytes of memory; None: there were none in time, or the connection
        has ended meanwhile."""
        memory, until = self.listener.memory, time.monotonic() + MAX_MEMORY_WAIT_S
        while (lease := memory.try_lease(size)) is None:
            memory.wait_until_freed(HANGUP_POLL_S)
            ended = self.lingering_since is not None or self._sock.hung_up()
            if ended or time.monotonic() > until:
                return None
        return lease

    def _wait_for_output(self, enough: Callable[[], bool]) -> bool:
        """Wait without reading until enough answers have been sent; False: the client has disconnected."""
        while not enough() and self.lingering_since is None:
            self._output_progress.clear()
            self._output_progress.wait(HANGUP_POLL_S)
            if self._sock.hung_up():
                self.listener.counters.add("clients.gone_unread")
                return False
        return True

    def _end_with_reply(self, data: bytes) -> None:
        """Answer the requests taken before, send `data`, then end the connection."""
        self.ending = True
        if not self._wait_for_output(self.answered):
            return
        if self.lingering_since is None:
            with gevent.Timeout(WRITE_STALL_S, TimeoutError()):
                self._sock.write_all(data)
            self.end(planned=False)
        self._discard()

    def _discard(self) -> None:
        """Read and drop what arrives after sending has been shut down.

        Past `LINGER_BYTES` nothing more is read; the close, which is a reset then, is left to the sweep.
        """
        while not self.closed and self._discarded <= LINGER_BYTES:
            self._discarded += len(self.inbox)
            self.inbox.skip(len(self.inbox))
            self.inbox.release()
            self._inbox_leases = ()
            if not self._sock.read(self.inbox):
                return
        while not self._sock.hung_up():
            gevent.sleep(HANGUP_POLL_S)

    def _write(self) -> None:
        while not self.closed:
            self._wake.clear()
            self._fill_outbox()
            self._output_progress.set()
            if self._writing():
                self._write_some()
                self._touch()
                continue
            if self.session.answer_broken:
                return self._break_off()
            if self.listener.stopping_since is not None:
                self.finish()
            if self.drained(time.monotonic()):  # end right after the last answer
                self.listener.counters.add("clients.drained")
                self.end()
            if self.lingering_since is not None:
                return
            self._wake.wait(UNSENT_POLL_S if self._closes_when_sent() else None)

    def _break_off(self) -> None:
        """End the connection within an answer: its client can tell that the answer is not whole."""
        self.listener.counters.add("clients.answer_broken")
        self.session.on_disconnect()
        self._input_paused = False  # nothing more is taken
        self.end(planned=False)

    def _fill_outbox(self) -> None:
        """Collect answers in the outbox, so that short ones are written together.

        What is longer than the outbox stays in `_unsent` once the outbox is empty, to be written as it is.
        """
        while self._unsent or self._take_output():
            if len(self._unsent) > OUTBOX_BYTES and not len(self.outbox):
                return
            self._unsent = self._unsent[self.outbox.put(self._unsent) :]
            if not self.outbox.room:
                return

    def _take_output(self) -> bool:
        """Take the session's next part that is not empty; False: there is none now."""
        while (part := self.session.output()) is not None:
            if part:
                self._unsent = memoryview(part)
                return True
        return False

    def _write_some(self) -> None:
        """Write once: from the outbox, or what is longer than the outbox as it is."""
        if len(self._unsent) > OUTBOX_BYTES and not len(self.outbox):
            self._unsent = self._unsent[self._sock.write_part(self._unsent) :]
        else:
            self._sock.write(self.outbox)

    def wake(self) -> None:
        self._wake.set()
        if len(self._greenlets) == 1 and not self.closed and self.lingering_since is None:
            self._greenlets.append(gevent.spawn(self._guard, self._write))

    def _touch(self) -> None:
        self.active_at = time.monotonic()
        self.listener.active(self)
