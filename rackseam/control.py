"""The decisions of one storage gateway, after "Lustre NRS TBF Policy"; types: rackseam/interface.py.

Per volume a FIFO queue (one lane for each shard) and a token bucket filled lazily; lanes' heads wait in a
heap by the deadline at which their tokens suffice. At a node that is behind, heads with tokens go by a tag
growing by units over weight, those inside the reserve first. Units out at a node are capped.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from heapq import heappop, heappush, heapreplace

from rackseam import interface as api
from rackseam.admission import Backlog, limit_wait_us, node_wait_us
from rackseam.buckets import EPSILON, Buckets, LimitBuckets, LimitPart, limit_part
from rackseam.interface import Action, Effect, ListKind, NodeState, Outcome, Settings
from rackseam.slow_start import CONTENDERS_MEMORY_US, NodeHistory, Shares, SlowStart, contending_gateways

AIM_PART = 0.15  # part of the tightest aim that a node's units out may take to serve (design)
LEAST_OUT = 4.0  # requests of mean size that may be out at any node: keeps its cores busy (design)
MOST_OUT = 32.0  # requests of mean size out at a node at most: bounds what one failure strands (design)
RATE_MEMORY_US = 1_000_000.0  # units a second at a node are averaged over about this long
RTT_GAIN = 0.2  # least weight of a new answer in a mean answer time: about the last five answers count
RTT_MEMORY_US = 2_000_000.0  # after about this long without an answer a node counts as the others do again
PATIENCE_AIMS = 2.0  # a node with work out and no answer for this many tightest aims counts as silent
LOSS_GAIN = 0.07  # weight of one attempt in the share of answers that seem lost: about fifteen attempts
LOSS_SHOWN = 0.06  # from this share on answers count as being lost
LOST_QUICK = 0.5  # ... if an answer that follows them takes less than this part of the tightest aim
LOST_WITHIN = 4.0  # ... and comes within this many tightest aims of the time-out
LOST_AFTER = 3.0  # ... and an attempt is given up after this many times its expected answer time
EXPECT_MOST = 0.7  # an answer is never expected later than this part of the aim after its sending
SIZE_PART = 0.75  # part of an answer's time taken to grow with the request's units; the rest is waiting
BROKEN_MOST = 4  # after so many broken connections without an answer between a node counts as silent
TRIAL_GROWTH = 1.6  # each unanswered trial at a silent node lengthens the wait for the next by this
TRIAL_MOST_AIMS = 4.0  # ... up to this many tightest aims, so that its return is noticed soon
CHOICES = 4  # nodes looked at for a new object: as good as all when news are old, and no gateway herd forms
FULL_REST_AIMS = 0.1  # a node that turned work away is left alone this part of the tightest aim
LIST_RETRY_US = 500_000.0  # first wait after a failed list call; doubles up to the stated longest silence
LIST_RETRY_MOST_US = 8_000_000.0  # longest wait between list calls when nothing is stated
HELD_PART = 0.48  # a request not sent within its aim or this part of its time is given up, whichever is less
SAME_DUE_US = 30_000  # a next try is due when its first was, but for the time its messages took
FOREVER = 1 << 62

# What is known never to have run may be sent anew by any class.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
STILL_RUNNING = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN})


_What = tuple[str, str, int, float]  # volume, key, class, units


class _Request:
    def __init__(
        self, e: api.Arrival, cls: api.RequestClass, lane: _Lane, now: int, seq: int, aim_at: int | None
    ) -> None:
        self.id, self.cls, self.lane, self.seq = e.request, cls, lane, seq
        self.units, self.key, self.since = e.units, e.key, now
        # What a client's next try wants within the aim began with its first try. It must not take the room of
        # requests that can still be in time.
        self.due_at = now + e.grace_us
        self.aim_at = now + min(cls.aim_us, e.grace_us) if aim_at is None else aim_at
        self.what = (e.volume, e.key, e.request_class, e.units)
        self.attempts: list[tuple[_Node, int] | None] = []  # None once its outcome is known
        self.out, self.turn = 0, (self.aim_at, seq)
        self.ran_at = -1  # when the first attempt that may have run was sent
        self.bound: _Node | None = None  # the node of that attempt: repeats stay within its group
        self.held_until = min(now + int(e.grace_us * HELD_PART), self.aim_at)
        self.paid = self.queued = self.late = self.over = self.began = self.reached = False
        self.aside, self.spent_at = False, 0  # units are set aside for it that no node has yet; since when
        self.waits = False  # it counts among what waits in its lane
        self.lacked_limit = False  # it has waited at the head of its queue for tokens


class _Node:
    def __init__(self, node: str) -> None:
        self.id, self.shard, self.zone, self.ready, self.place = node, -1, 0, False, -1
        self.history = NodeHistory(node)
        self.missed = self.missed_at = 0
        self.out_units, self.rate, self.rate_at, self.rtt, self.rtt_at = 0.0, 0.0, 0, 0.0, 0
        self.alive_at = self.alone_until = self.wake_at = 0
        self.broken = 0  # connections broken since the last answer; refused ones count twice
        self.trial_wait = 0.0  # above 0 while the node counts as silent


class _Volume:
    def __init__(
        self, plan: api.Plan, part: LimitPart | None, gateways: int, now: int, largest: float
    ) -> None:
        self.plan, self.part, self.gateways = plan, part, gateways
        self.reserve_most = plan.reserve_units_per_s + largest if plan.reserve_units_per_s else 0.0
        self.reserve, self.reserve_at = self.reserve_most, now
        self.lanes: dict[int, _Lane] = {}
        self.waiting = 0.0  # units queued in all lanes


class _Lane:
    """A volume's queue at one shard: FIFO by arrival, also for requests that come back."""

    def __init__(self, volume: _Volume, shard: _Shard) -> None:
        self.volume, self.shard, self.tag, self.version = volume, shard, 0.0, 0
        self.heap: list[tuple[tuple[int, int], _Request]] = []
        self.waiting = 0.0  # units queued that can still keep their aim
        self.waiting_weight = 0.0  # what it adds to the shard's backlog


class _Shard:
    def __init__(self, number: int) -> None:
        self.number, self.tag, self.asked_at = number, 0.0, -1
        self.nodes: list[_Node] = []
        self.backlog = Backlog()
        self.reserved: list[tuple[float, int, int, _Lane]] = []  # by the time the reserve suffices
        self.tagged: list[tuple[float, int, int, _Lane]] = []  # by the weight tag
        self.late: list[tuple[int, int, _Request]] = []  # past their aim, by what is left of their time


class Controller:
    """One gateway's decisions: hand every batch of events to `handle` and carry out what it returns."""

    def __init__(self, settings: Settings, buckets: Buckets | None = None) -> None:
        """`buckets`: what may be spent of limits; None: this process alone has the gateway's part."""
        self.s = settings
        self.buckets: Buckets = buckets or LimitBuckets(settings.max_units)
        self.sharers, self.rank = 1, 0  # processes of this gateway, and this one's number among them
        self.random = random.Random(settings.seed)
        self.aim = float(min(c.aim_us for c in settings.classes))
        self.margin = 2 * settings.step_us
        self.now = self.seq = 0
        self.started_at, self.loss = -1, 0.0
        self.bell_at = FOREVER
        self.actions: list[Action] = []
        self.held: list[tuple[str, float]] | None = None  # who waits how long for tokens, if anyone asks
        self.alarms: list[tuple[int, int, Callable[[], None], _Request | None]] = []
        self.requests: dict[str, _Request] = {}
        self.volumes: dict[tuple[str, int], _Volume] = {}
        self.nodes: dict[str, _Node] = {}
        self.listed: list[_Node] = []  # the ready ones, each at its `place`
        self.leaving: dict[str, _Node] = {}  # not ready: forgotten once nothing is out there
        self.all = _Node("")  # the mean answer time and the summed rate of all nodes
        self.shards: dict[int, _Shard] = {}
        self.chains: dict[str, deque[_Request]] = {}
        self.rests: dict[str, int] = {}
        self.unserved: dict[_What, list[tuple[int, int]]] = {}  # what clients may ask again: due, aim
        self.unserved_order: deque[tuple[int, _What]] = deque()
        self.taken: deque[int] = deque()
        self.resent: deque[int] = deque()
        self.list_wait, self.list_call = LIST_RETRY_US, 0
        self.list_longest = settings.ask_every_us * 0.5 or LIST_RETRY_MOST_US
        self.slow_start = SlowStart(settings, 0)
        self.contenders, self.contenders_at = float(settings.gateways), 0
        self.kicked: dict[int, _Shard] = {}
        self.others = self.shards[-1] = _Shard(-1)

    def handle(self, now_us: int, events: Sequence[api.Event]) -> list[Action]:
        self.now = now_us
        if self.started_at < 0:
            self.started_at = now_us
            self.slow_start = SlowStart(self.s, now_us)
            self.buckets.begin(now_us)
            if self.s.list_on_request:
                self._subscribe()
        for event in events:
            match event:
                case api.Answer():
                    self._answer(event)
                case api.Arrival():
                    self._arrival(event)
                case api.ListUpdate():
                    self._list(event)
                case api.Began(request) if request in self.requests:
                    self.requests[request].began = True
                    if event.node in self.nodes:
                        self._heard(self.nodes[event.node], event.rtt_us)
                case api.Withdrawn(request) if request in self.requests:
                    self._cancel(self.requests[request])
                    self._finish(self.requests[request])
                case api.LimitsChanged(volume, plan):
                    self._limits_changed(volume, plan)
                case api.SharersChanged(sharers, rank):
                    self.sharers, self.rank = sharers, rank
                case api.ProbeResult(node, Outcome.DONE) if node in self.nodes:
                    self._heard(self.nodes[node], 0)
            self._settle()
        self.bell_at = self.bell_at if self.bell_at > now_us else FOREVER
        while self.alarms and self.alarms[0][0] <= now_us:
            heappop(self.alarms)[2]()
            self._settle()
        while self.alarms and (r := self.alarms[0][3]) is not None and r.over:
            heappop(self.alarms)  # most requests are over long before their alarms: these ring no bell
        if self.alarms and self.alarms[0][0] < self.bell_at:
            self.bell_at = self.alarms[0][0]
            self.actions.append(api.SetTimer("due", self.bell_at - now_us))
        done, self.actions = self.actions, []
        return done

    def _kick(self, shard: _Shard) -> None:
        """Serve a shard once the event in hand is done: serving must never start inside serving."""
        self.kicked[shard.number] = shard

    def _settle(self) -> None:
        while self.kicked:
            self._serve(self.kicked.pop(next(iter(self.kicked))))

    def _at(self, when: float, call: Callable[[], None], r: _Request | None = None) -> None:
        """Call then, unless the request is over."""
        self.seq += 1
        heappush(self.alarms, (max(self.now + 1, math.ceil(when)), self.seq, call, r))

    # --- the list of nodes

    def _subscribe(self) -> None:
        self.actions.append(api.Subscribe())
        # An answer that never comes must not leave the list to rot.
        self._subscribe_at(self.list_longest)

    def _subscribe_at(self, wait: float) -> None:
        self.list_call += 1
        call = self.list_call

        def again() -> None:
            if call == self.list_call:
                self._subscribe()

        self._at(self.now + wait, again)

    def _list(self, e: api.ListUpdate) -> None:
        if e.kind is ListKind.FAILED:
            # All gateways fail together when the list is down: spread and lengthen the waits.
            wait = self.list_wait * (0.5 + self.random.random())
            self.list_wait = min(self.list_wait * 2, LIST_RETRY_MOST_US, self.list_longest)
            self._subscribe_at(wait)
            return
        if e.kind is not ListKind.CACHED:
            self.list_wait = LIST_RETRY_US
            self.list_call += 1
        touched: dict[int, None] = {}
        if e.kind is not ListKind.DELTA:
            named = {entry.node for entry in e.nodes}
            for node in self.nodes.values():
                if node.id not in named:
                    self._set_ready(node, False)
        for entry in e.nodes:
            known = self.nodes.get(entry.node)
            if known is None:
                known = self.nodes[entry.node] = _Node(entry.node)
            if entry.launched_us > known.history.launched and known.history.launched + known.rate_at > 0:
                # A fresh start voids what was learned of the node before.
                known.rate, known.rtt_at, known.trial_wait, known.alone_until = 0.0, 0, 0.0, 0
            if entry.launched_us > known.history.launched:
                known.history.restarted(entry.launched_us)
            known.zone = entry.zone
            if entry.shard != known.shard:
                if known.shard >= 0:
                    self.shards[known.shard].nodes.remove(known)
                known.shard = entry.shard
                self.shards.setdefault(entry.shard, _Shard(entry.shard)).nodes.append(known)
            self._set_ready(known, entry.state is NodeState.READY)
            touched[entry.shard] = None
        for node in [n for n in self.leaving.values() if not n.history.out]:
            del self.nodes[node.id], self.leaving[node.id]
            self.shards[node.shard].nodes.remove(node)
        for number in touched:
            self._kick(self.shards[number])
        self._kick(self.others)

    def _set_ready(self, node: _Node, ready: bool) -> None:
        """The last takes the place that is left: one changed entry must not cost with all nodes."""
        if ready and node.place < 0:
            node.place = len(self.listed)
            self.listed.append(node)
        elif not ready and node.place >= 0:
            last = self.listed[-1]
            self.listed[node.place], last.place = last, node.place
            self.listed.pop()
            node.place = -1
        node.ready = ready
        self.leaving.pop(node.id, None)
        if not ready:
            self.leaving[node.id] = node

    # --- requests in

    def _arrival(self, e: api.Arrival) -> None:
        for name, known in (("request_class", self.s.classes), ("plan", self.s.plans)):
            if not 0 <= getattr(e, name) < len(known):
                raise ValueError(f"{name}: {getattr(e, name)} is not among the settings'")
        if e.request in self.requests:
            return
        cls = self.s.classes[e.request_class]
        volume = self._volume(e)
        shard = self.shards.setdefault(e.shard, _Shard(e.shard))
        shard.asked_at = self.now
        lane = volume.lanes.setdefault(e.shard, _Lane(volume, shard))
        self.seq += 1
        r = _Request(e, cls, lane, self.now, self.seq, self._first_aim(e))
        self.requests[e.request] = r
        if self.s.resend_ratio is not None:
            self.taken.append(self.now)
        self._at(r.due_at - self.margin, lambda: self._expire(r), r)
        self._at(r.held_until, lambda: self._unsent(r), r)
        if cls.ordered and e.key:
            chain = self.chains.setdefault(e.key, deque())
            chain.append(r)
            if chain[0] is not r or self.rests.get(e.key, 0) > self.now:
                return
        if self._hopeless(r):
            self._end(r)
        else:
            self._enqueue(r)

    def _hopeless(self, r: _Request) -> bool:
        """Whether what stands before it takes it past its aim, by the pace its nodes and its limit show."""
        lane, volume, shard = r.lane, r.lane.volume, r.lane.shard
        left = r.aim_at - self.now
        if self.sharers == 1 and volume.part is not None and volume.waiting:
            alone = self._short(r)
            if limit_wait_us(alone, volume.waiting, volume.part.rate) > left + self.aim:
                r.lacked_limit = True
                return True
        if shard.number < 0 or shard.backlog.standing_since < 0:
            return False
        if volume.plan.reserve_units_per_s and self._reserve(volume) >= r.units:
            return False
        ready = [node for node in shard.nodes if node.ready]
        if not all(self._shows_pace(node) for node in ready):
            return False
        rate = sum(self._rate(node) for node in ready)
        wait = node_wait_us(
            shard.backlog, self.now, self.aim, volume.plan.weight, lane.waiting, r.units, rate, RATE_MEMORY_US
        )
        return wait > left

    def _shows_pace(self, node: _Node) -> bool:
        """Whether what a node serves tells what it bears: it answers, and is not held back by slow start."""
        answers = not node.trial_wait and node.history.answered_at >= self.now - self.aim
        return answers and not self.slow_start.is_cold(node.history, self.now)

    def _starts_waiting(self, r: _Request) -> None:
        lane = r.lane
        r.waits = True
        lane.waiting += r.units
        lane.volume.waiting += r.units
        if not lane.waiting_weight:
            lane.waiting_weight = lane.volume.plan.weight
            lane.shard.backlog.weight += lane.waiting_weight

    def _ends_waiting(self, r: _Request) -> None:
        if not r.waits:
            return
        lane = r.lane
        r.waits = False
        lane.volume.waiting = max(0.0, lane.volume.waiting - r.units)
        lane.waiting = max(0.0, lane.waiting - r.units)
        if lane.waiting <= EPSILON:
            lane.shard.backlog.weight = max(0.0, lane.shard.backlog.weight - lane.waiting_weight)
            lane.waiting = lane.waiting_weight = 0.0

    def _volume(self, e: api.Arrival) -> _Volume:
        plan, gateways = self.s.plans[e.plan], max(1, e.gateways)
        volume = self.volumes.pop((e.volume, e.plan), None)
        if volume is None:
            self._drop_idle()
            part = limit_part(plan, e.volume, e.plan, gateways)
            volume = _Volume(plan, part, gateways, self.now, self.s.max_units)
        elif volume.plan is not plan or volume.gateways < gateways:
            # New settings hold for volumes that are known too; their tokens are kept within the new depth.
            volume.plan, volume.gateways = plan, max(volume.gateways, gateways)
            volume.part = limit_part(plan, e.volume, e.plan, volume.gateways)
        self.volumes[e.volume, e.plan] = volume  # the longest unused stands first
        return volume

    def _first_aim(self, e: api.Arrival) -> int | None:
        """The aim of the try that this one follows: the same was asked, to be given up at the same time.

        Less time than others have is no sign: some clients have little from the first.
        """
        while self.unserved_order and self.unserved_order[0][0] < self.now:
            _, what = self.unserved_order.popleft()
            if not (left := [t for t in self.unserved.get(what, ()) if t[0] >= self.now]):
                self.unserved.pop(what, None)
            else:
                self.unserved[what] = left
        tries = self.unserved.get((e.volume, e.key, e.request_class, e.units), [])
        for i, (due_at, aim_at) in enumerate(tries):
            if abs(due_at - self.now - e.grace_us) <= SAME_DUE_US:
                del tries[i]
                return aim_at
        return None

    def _drop_idle(self) -> None:
        """Drop the longest unused volume if nothing waits and its buckets are as full as a new one's."""
        if (key := next(iter(self.volumes), None)) is not None:
            v = self.volumes[key]
            if self._reserve(v) < v.reserve_most or any(self._head(lane) for lane in v.lanes.values()):
                return
            if v.part is None or self.buckets.forget_full(v.part, self.now):
                del self.volumes[key]

    def _enqueue(self, r: _Request) -> None:
        """Put a request that may go out into its volume's queue and see whether it can leave now."""
        if r.over or r.queued or r.out:
            return
        r.queued = True
        if r.late:
            heappush(r.lane.shard.late, (r.due_at, r.seq, r))
        else:
            heappush(r.lane.heap, (r.turn, r))
            self._starts_waiting(r)
            if r.lane.heap[0][1] is r:
                self._arm(r.lane)
        self._kick(r.lane.shard)

    # --- token buckets

    def _short(self, r: _Request) -> float:
        """Microseconds until the bucket suffices for the request: its deadline less now."""
        part = r.lane.volume.part
        if r.paid or part is None:
            return 0.0
        return self.buckets.wait_us(part, r.units, self.now)

    def _limits_changed(self, volume: str, plan: int) -> None:
        """Look again at the heads that wait for tokens."""
        changed = [self.volumes.get((volume, plan))] if volume else list(self.volumes.values())
        for v in changed:
            if v is None or v.part is None:
                continue
            for lane in v.lanes.values():
                self._arm(lane)
                self._kick(lane.shard)

    def written(self, request: str, now_us: int) -> None:
        """Told at once, between batches: the request's last byte has left for a node."""
        r = self.requests.get(request)
        if r is not None and r.aside and r.lane.volume.part is not None:
            r.aside = False
            self.buckets.written(r.lane.volume.part, r.units, now_us)

    def _release(self, r: _Request) -> None:
        """What was set aside for a request that no node got is free again."""
        r.aside = r.paid = False
        if r.lane.volume.part is not None:
            self.buckets.release(r.lane.volume.part, r.units, r.spent_at, self.now)

    def _reserve(self, v: _Volume) -> float:
        """The second bucket, of the reserve: a second's worth of it and one largest request deep."""
        gained = (self.now - v.reserve_at) * v.plan.reserve_units_per_s / 1e6
        v.reserve = min(v.reserve_most, v.reserve + gained)
        v.reserve_at = self.now
        return v.reserve

    # --- heads and heaps

    def _head(self, lane: _Lane) -> _Request | None:
        while lane.heap:
            r = lane.heap[0][1]
            if not r.over and r.queued and not r.late:
                return r
            heappop(lane.heap)
        return None

    def _arm(self, lane: _Lane) -> None:
        """Place the lane's head: by its deadline while tokens are short, else among the ready heads."""
        lane.version += 1
        r = self._head(lane)
        if r is None:
            return
        wait = self._short(r)
        if wait > 0:
            r.lacked_limit = True
            if self.held is not None:
                self.held.append((r.id, wait))
            version = lane.version
            if wait < math.inf:
                self._at(self.now + wait, lambda: self._ripe(lane, version))
            return
        shard, v = lane.shard, lane.volume
        lane.tag = max(lane.tag, shard.tag)
        self.seq += 1
        heappush(shard.tagged, (lane.tag, self.seq, lane.version, lane))
        if v.plan.reserve_units_per_s > 0:
            heappush(shard.reserved, (self._reserve_due(r), self.seq, lane.version, lane))

    def _reserve_due(self, r: _Request) -> float:
        missing = max(0.0, r.units - self._reserve(r.lane.volume))
        return self.now + missing * 1e6 / r.lane.volume.plan.reserve_units_per_s

    def _ripe(self, lane: _Lane, version: int) -> None:
        if lane.version == version:
            self._arm(lane)
            self._kick(lane.shard)

    def _best(self, shard: _Shard) -> tuple[int, float, int, _Lane] | None:
        """The next ready head: inside a reserve by its deadline, else the least weight tag."""
        while shard.reserved:
            due, seq, version, lane = shard.reserved[0]
            if lane.version != version:
                heappop(shard.reserved)
                continue
            if due > self.now:
                break
            r = self._head(lane)
            if r is None or self._passed(lane, r):
                self._arm(lane)
                continue
            if (real := self._reserve_due(r)) <= self.now + 1:
                return 0, due, version, lane
            heapreplace(shard.reserved, (real, seq, version, lane))
        while shard.tagged:
            tag, seq, version, lane = shard.tagged[0]
            if lane.version != version:
                heappop(shard.tagged)
                continue
            r = self._head(lane)
            if r is not None and not self._passed(lane, r):
                return 1, tag, version, lane
            self._arm(lane)
        return None

    def _passed(self, lane: _Lane, r: _Request) -> bool:
        """Take a head out of turn that cannot keep its aim, or whose tokens went to another lane."""
        nodes = lane.shard.nodes
        expect = (self._rtt(nodes[-1]) if nodes else self.all.rtt) * self._size(r)
        expect = min(r.cls.aim_us * EXPECT_MOST, expect)
        if self.now + expect > r.aim_at:
            # Danger: under overload a FIFO serves only what is late already. What cannot keep its aim waits
            # for spare room; an ordered one that others wait behind is refused to free its key.
            heappop(lane.heap)
            self._ends_waiting(r)
            r.late = True
            chain = self.chains.get(r.key) if r.cls.ordered else None
            if chain is not None and len(chain) > 1 and self._refusable(r):
                self._end(r)
            else:
                heappush(lane.shard.late, (r.due_at, r.seq, r))
            return True
        return self._short(r) > 0

    # --- nodes and room

    def _cap(self, node: _Node) -> float:
        """Units that may be out at a node: its units a second here, times a part of the tightest aim."""
        rate = self._rate(node) if node.rtt_at else self._rate(self.all) / max(1, len(self.listed))
        # Danger: many gateways at the least number each, or work heavier than its units, fill a node's queue
        # past every aim. Whatever the cause, answers slower than that part of the aim shrink the least.
        mean, part = self.s.mean_units, self.aim * AIM_PART
        least = LEAST_OUT * mean * min(1.0, part / max(1.0, self._rtt(node))) ** 2
        return min(MOST_OUT * mean, max(least, rate * part / 1e6))

    def _rate(self, node: _Node) -> float:
        return node.rate * math.exp((node.rate_at - self.now) / RATE_MEMORY_US)

    def _room(self, node: _Node, units: float, reserved: bool) -> float:
        """Units of room for a request of this size; 0 or less: full, silent, resting or too cold."""
        if node.alone_until > self.now:
            return 0.0
        quiet = self.now - node.alive_at > self.aim * PATIENCE_AIMS
        if quiet and not node.trial_wait and (node.history.out or node.missed > 1):
            # Danger: a node that died or hangs swallows everything sent to it. One trial at a time, ever
            # rarer, until it answers; whatever the cause of its silence.
            self._silence(node)
            return 0.0
        if self._starts_slowly(node, units):
            return 0.0
        if node.trial_wait:
            return EPSILON
        cap, mean = self._cap(node), self.s.mean_units
        if cap < mean and not reserved:
            # Danger: one request out at each of many gateways is a long queue already. Room under one request
            # becomes a pace, for all but the reserve: as much time between sends as keeps that much out.
            pace_at = node.history.sent_at + int(self._rtt(node) * mean / cap)
            if pace_at > self.now:
                self._wake(node, pace_at)
                return 0.0
        return cap - node.out_units

    def _silence(self, node: _Node) -> None:
        node.trial_wait = max(self.aim, node.trial_wait * TRIAL_GROWTH)
        node.trial_wait = min(node.trial_wait, self.aim * TRIAL_MOST_AIMS)
        self._rest(node, node.trial_wait * (0.75 + self.random.random() / 2))

    def _rest(self, node: _Node, wait: float) -> None:
        node.alone_until = max(node.alone_until, self.now + int(wait))
        self._wake(node, node.alone_until)

    def _wake(self, node: _Node, when: int) -> None:
        """Look at the node again then. One alarm at most: alarms that set alarms must not multiply."""
        if self.now < node.wake_at <= when:
            return
        node.wake_at = max(when, self.now + 1)
        self._at(node.wake_at, lambda: self._room_at(node))

    def _starts_slowly(self, node: _Node, units: float) -> bool:
        """Danger: all gateways together can push a cold node over. Whether this request has to wait there."""
        if not self.slow_start.is_cold(node.history, self.now):
            return False
        # Each process of this gateway counts as a gateway of its own: together they keep to its part.
        shares = Shares(
            gateways=self.s.gateways * self.sharers,
            position=self.s.position * self.sharers + self.rank,
            contenders=self._contenders() * self.sharers,
        )
        admits_at = self.slow_start.admits_at(node.history, units, self.now, shares)
        if admits_at <= self.now:
            return False
        if admits_at < math.inf:
            self._wake(node, int(admits_at))
        return True

    def _contenders(self) -> float:
        if self.now >= self.contenders_at:
            since = max(0, self.now - CONTENDERS_MEMORY_US)
            asked = sum(shard.asked_at > since for shard in self.shards.values())
            running = self.now - self.started_at
            self.contenders = contending_gateways(self.s.gateways, asked, len(self.shards) - 1, running)
            self.contenders_at = self.now + int(self.aim * FULL_REST_AIMS)
        return self.contenders

    def _node_for(self, shard: _Shard, r: _Request, reserved: bool = False) -> _Node | None:
        """The ready node of the shard with most room; for a new object the best of a few."""
        best, most, among = None, 0.0, shard.nodes
        if shard.number < 0:
            # Danger: on equal news all gateways pick the same node, and looking at all costs with the fleet.
            among = self.random.sample(self.listed, min(CHOICES, len(self.listed)))
        for node in among:
            if not node.ready or (r.bound is not None and not self._same_group(r.bound, node, r.cls)):
                continue
            if (room := self._room(node, r.units, reserved)) > most:
                best, most = node, room
        return best

    def _same_group(self, bound: _Node, node: _Node, cls: api.RequestClass) -> bool:
        if cls.effect is not Effect.KEYED or cls.group == "all":
            return True
        return bound.zone == node.zone if cls.group == "zone" else bound.shard == node.shard

    def _room_at(self, node: _Node) -> None:
        if node.shard >= 0:
            self._kick(self.shards[node.shard])
        self._kick(self.others)

    def _serve(self, shard: _Shard) -> None:
        """Send heads of this shard while its node has room; a head whose node is full stays in its heap."""
        while (found := self._best(shard)) is not None:
            if shard.number >= 0 and self.others.tagged:
                other = self._best(self.others)
                if other is not None and other[:2] < found[:2] and self._send_best(self.others, other):
                    continue
            if not self._send_best(shard, found):
                shard.backlog.stands(self.now)
                return
        shard.backlog.cleared()
        while shard.late:
            r = shard.late[0][2]
            if r.over or not r.queued or self.now + self.margin >= r.due_at:
                heappop(shard.late)
                continue
            if self._short(r) > 0:
                return
            if (node := self._spare(shard, r)) is None:
                return
            if r.attempts and not self._may_resend(r):
                return
            heappop(shard.late)
            self._send(r, node)

    def _spare(self, shard: _Shard, r: _Request) -> _Node | None:
        """An idle and quick node, which a late request may have."""
        node = self._node_for(shard, r)
        return node if node and not node.history.out and self._rtt(node) <= self.aim * AIM_PART else None

    def _send_best(self, shard: _Shard, found: tuple[int, float, int, _Lane]) -> bool:
        lane = found[3]
        if lane.version != found[2]:
            return True  # the look at the other heap has changed this lane
        r = lane.heap[0][1]
        if r.attempts and not self._may_resend(r):
            heappop(lane.heap)
            self._ends_waiting(r)
            r.queued = False
            self._arm(lane)
            return True
        node = self._node_for(shard, r, found[0] == 0)
        if node is None:
            return False
        heappop(lane.heap)
        shard.tag = max(shard.tag, lane.tag)
        lane.tag += r.units / lane.volume.plan.weight
        self._send(r, node)
        self._arm(lane)
        return True

    def _may_resend(self, r: _Request) -> bool:
        """Another attempt within the stated budget and the repeats' memory; else retried later or ended."""
        s = self.s
        if r.ran_at >= 0 and r.cls.effect is Effect.KEYED and self.now >= r.ran_at + r.cls.key_ttl_us:
            self._end(r)
            return False
        if s.resend_ratio is None:
            return True
        for window in (self.taken, self.resent):
            while window and window[0] <= self.now - s.resend_span_us:
                window.popleft()
        if len(self.resent) + 1 <= (s.resend_free or 0) + s.resend_ratio * len(self.taken):
            return True
        self._at(self.now + self.aim * FULL_REST_AIMS, lambda: self._enqueue(r))
        return False

    def _send(self, r: _Request, node: _Node) -> None:
        v, spends = r.lane.volume, False
        if not r.paid:
            r.paid = True
            if v.part is not None:
                self.buckets.spend(v.part, r.units, self.now)
                spends = r.aside = self.buckets.tracks
                r.spent_at = self.now
            self._reserve(v)
            v.reserve = max(-v.plan.reserve_units_per_s, v.reserve - r.units)
        if r.attempts and self.s.resend_ratio is not None:
            self.resent.append(self.now)
        self._ends_waiting(r)
        r.queued = False
        r.attempts.append((node, self.now))
        r.out += 1
        if not node.history.out and node.missed < 2:
            node.alive_at = self.now
        node.out_units += r.units
        node.history.record_send(r.units, self.now)
        if node.trial_wait:
            self._silence(node)
        # Danger: work past its aim earns next to nothing, yet fills a node's queue before what is in time.
        wait = max(0, r.aim_at - self.now)
        if self.loss >= LOSS_SHOWN and r.cls.effect is not Effect.UNSAFE:
            # Danger: a lost answer costs the request. What is overdue is repeated while its aim can be kept.
            expect = self._rtt(node) * self._size(r)
            if expect and expect * (LOST_AFTER + 1) <= wait and len(r.attempts) < self.s.max_attempts:
                wait = int(expect * LOST_AFTER)
        self.actions.append(api.Send(r.id, node.id, wait, spends))

    # --- answers

    def _size(self, r: _Request) -> float:
        """Danger: large requests' answer times make small ones look hopeless, and a node look slow."""
        return 1 - SIZE_PART + SIZE_PART * r.units / self.s.mean_units

    def _heard(self, node: _Node, rtt_us: float) -> None:
        node.alive_at, node.trial_wait, node.missed, node.broken = self.now, 0.0, 0, 0
        if rtt_us:
            self._learn(node, rtt_us)

    def _learn(self, node: _Node, rtt_us: float) -> None:
        """Danger: one of many gateways hears a node seldom; what it heard long ago must not bind it now."""
        node.rtt = (mean := self._rtt(node)) + (rtt_us - mean) * max(RTT_GAIN, 1 - self._fresh(node))
        node.rtt_at = self.now
        self.all.rtt += (rtt_us - self.all.rtt) * (RTT_GAIN if self.all.rtt else 1.0)

    def _fresh(self, node: _Node) -> float:
        return math.exp((node.rtt_at - self.now) / RTT_MEMORY_US) if node.rtt_at else 0.0

    def _rtt(self, node: _Node) -> float:
        """The node's mean answer time as far as it is fresh, else that of all nodes."""
        return self.all.rtt + (node.rtt - self.all.rtt) * self._fresh(node)

    def _answer(self, e: api.Answer) -> None:
        r = self.requests.get(e.request)
        if r is None or not 0 <= e.attempt < len(r.attempts) or (attempt := r.attempts[e.attempt]) is None:
            return
        node, sent_at = attempt
        r.attempts[e.attempt] = None
        r.out -= 1
        node.history.out -= 1
        node.out_units = max(0.0, node.out_units - r.units) if node.history.out else 0.0
        outcome, missed = e.outcome, node.missed
        if outcome in (Outcome.DONE, Outcome.ERROR, Outcome.FULL):
            if node.trial_wait:
                node.alone_until = self.now
            self._heard(node, e.rtt_us / self._size(r) if outcome is Outcome.DONE else 0)
        if outcome is Outcome.DONE:
            # A time-out followed by a quick answer was a lost answer, not a slow or a silent node.
            near = missed > 0 and self.now - node.missed_at < self.aim * LOST_WITHIN
            self.loss += ((near and e.rtt_us < self.aim * LOST_QUICK) - self.loss) * LOSS_GAIN
            node.history.answered_at = self.now
            for one in (node, self.all):
                one.rate = self._rate(one) + r.units * 1e6 / RATE_MEMORY_US
                one.rate_at = self.now
            v = r.lane.volume
            if e.elsewhere_units and v.plan.reserve_units_per_s:
                # What other gateways had served here has used the volume's reserve too.
                v.reserve = max(-v.plan.reserve_units_per_s, self._reserve(v) - e.elsewhere_units)
        elif outcome is Outcome.FULL:
            self._rest(node, self.aim * FULL_REST_AIMS * (0.5 + self.random.random()))
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            # A broken connection is no dead node, the next attempt tells; two that were refused are.
            node.broken += 2 if outcome is Outcome.CONNECT_FAILED else 1
            if node.broken >= BROKEN_MOST:
                self._silence(node)
        elif outcome is Outcome.MOOT and not e.closed:
            self._rest(node, self.aim * FULL_REST_AIMS * (0.5 + self.random.random()))
        elif outcome is Outcome.TIMEOUT:
            node.missed, node.missed_at = node.missed + 1, self.now
            if self.loss < LOSS_SHOWN or node.missed > 1:
                self._learn(node, max(self._rtt(node), (self.now - sent_at) / self._size(r)))
        r.reached = r.reached or outcome not in (Outcome.CONNECT_FAILED, Outcome.MOOT)
        if r.reached and r.aside:
            self.written(r.id, self.now)
        elif outcome is Outcome.MOOT and r.aside and not r.out:
            self._release(
                r
            )  # it was set aside too long ago, or for a node that had moved: it has to pay anew
        if outcome not in NEVER_RAN and r.ran_at < 0:
            r.ran_at, r.bound = sent_at, node
        if outcome in STILL_RUNNING and r.key and r.cls.ordered:
            self.rests[r.key] = self.now + self.s.key_rest_us
        if e.closed or r.over:
            self._finish(r)
        elif not r.out:
            done = r.ran_at >= 0 and r.cls.effect is Effect.UNSAFE
            if r.began or done or len(r.attempts) >= self.s.max_attempts:
                self._end(r)
            else:
                self._enqueue(r)
                self._unsent(r)
        self._room_at(node)

    # --- final answers

    def _refusable(self, r: _Request) -> bool:
        """A refusal promises that a repeat does no harm."""
        if r.cls.effect is Effect.SAFE or (r.ran_at < 0 and not r.out):
            return True
        return r.cls.effect is Effect.KEYED and r.cls.group == "all"

    def _pause(self, r: _Request) -> int:
        """When to come back: what stands in the queue now takes about as long as this one has waited."""
        return min(self.s.retry_after_most_us, max(int(self.aim), self.now - r.since))

    def _end(self, r: _Request) -> None:
        if not r.over:
            refuse = api.Refuse(r.id, self._pause(r), r.lacked_limit and not r.attempts)
            self.actions.append(refuse if self._refusable(r) else api.Fail(r.id))
            if r.what[1]:
                self.unserved.setdefault(r.what, []).append((r.due_at, r.aim_at))
                self.unserved_order.append((min(r.due_at, self.now + r.cls.deadline_us), r.what))
            self._finish(r)

    def _expire(self, r: _Request) -> None:
        """Danger: a request held at a dead node or behind its key must still be answered in time."""
        if not r.over and not r.began:
            self._cancel(r)
            self._end(r)

    def _unsent(self, r: _Request) -> None:
        """Danger: what waits past its aim is rarely sent at all, and keeps a connection from other clients.

        Only a head whose tokens are about to suffice is held on until then, if its node could take it now.
        """
        if r.over or r.out or r.reached or self.now < r.held_until:
            return
        short = self._short(r) if self._head(r.lane) is r else 0.0
        if 0 < short <= self.aim and self._spare(r.lane.shard, r) is not None:
            self._at(self.now + short + self.margin, lambda: self._unsent(r), r)
        else:
            self._end(r)

    def _cancel(self, r: _Request) -> None:
        if self.s.may_cancel:
            self.actions.extend(api.Cancel(r.id, i) for i, a in enumerate(r.attempts) if a is not None)

    def _finish(self, r: _Request) -> None:
        """The request is over; its key stays taken until the outcome of every attempt is known."""
        self._ends_waiting(r)
        r.over, r.queued = True, False
        if r.out:
            return
        if r.aside:
            self._release(r)
        self.requests.pop(r.id, None)
        if not r.cls.ordered or r.key not in self.chains:
            return
        chain = self.chains[r.key]
        while chain and chain[0].over and not chain[0].out:
            chain.popleft()
        if not chain:
            del self.chains[r.key]
            if self.rests.get(r.key, 0) > self.now:
                self._at(self.rests[r.key] + 1, lambda: self._next(r.key))
        elif not chain[0].over:
            self._next(r.key)

    def _next(self, key: str) -> None:
        """Release the first of a key, once the rest that the rules ask for is over."""
        rest = self.rests.get(key, 0)
        if rest > self.now:
            self._at(rest + 1, lambda: self._next(key))
            return
        self.rests.pop(key, None)
        chain = self.chains.get(key)
        if chain and not chain[0].over:
            self._enqueue(chain[0])
