"""Scheduling decisions of one storage gateway, modelled on the "Lustre NRS TBF Policy".

Each volume has a FIFO queue, with one lane per shard, and a token bucket that is refilled on access. The
head of a lane becomes ready when its tokens suffice. While a node is overloaded, ready heads are served in
weighted fair order, by a tag that grows by units divided by weight; heads within their volume's reserve go
first. The units in flight at a node are capped. The types of events and actions are in rackseam/interface.py.

An aim is the target latency of a request class; the tightest aim is the smallest of all classes.
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
from rackseam.slow_start import CONTENDERS_WINDOW_US, NodeHistory, Shares, SlowStart, contending_gateways

IN_FLIGHT_AIM_FRACTION = 0.15  # serving the units in flight at a node may take this part of the tightest aim
MIN_IN_FLIGHT_REQUESTS = 4.0  # requests of mean size allowed in flight at any node: keeps its cores busy
MAX_IN_FLIGHT_REQUESTS = 32.0  # requests of mean size: bounds how many are lost when one node fails
RATE_TIME_CONSTANT_US = 1_000_000.0  # averaging time of the units per second served by a node
RTT_GAIN = 0.2  # minimum weight of a new answer in a mean answer time, which covers about five answers
RTT_TIME_CONSTANT_US = 2_000_000.0  # without answers a node's mean answer time decays to the overall mean
SILENCE_TIMEOUT_AIMS = 2.0  # tightest aims with work in flight and no answer until a node counts as silent
LOSS_GAIN = 0.07  # weight of one attempt in the fraction of lost answers, which covers about fifteen attempts
LOSS_THRESHOLD = 0.06  # fraction of lost answers from which attempts time out early and are repeated
LOSS_MAX_RTT_AIMS = 0.5  # a time-out counts as a lost answer if the next answer takes less than this
LOSS_WINDOW_AIMS = 4.0  # ... and comes within this many tightest aims of the time-out
LOSS_TIMEOUT_RTTS = 3.0  # expected answer times after which an attempt is given up while answers are lost
MAX_EXPECTED_AIM_FRACTION = 0.7  # upper bound of an expected answer time, as a fraction of the request's aim
SIZE_RTT_FRACTION = 0.75  # fraction of an answer time assumed to grow with the request's units
MAX_BROKEN_CONNECTIONS = 4  # broken connections without an answer in between until a node counts as silent
TRIAL_BACKOFF_FACTOR = 1.6  # growth of the interval between trials at a silent node, per unanswered trial
MAX_TRIAL_INTERVAL_AIMS = 4.0  # tightest aims; bounds the interval so that a node's return is noticed soon
SAMPLED_NODES = 4  # candidates for a new object: as good as all with stale data, and gateways don't converge
RETRY_DELAY_AIMS = 0.1  # tightest aims for which a node that refused work gets none
LIST_RETRY_US = 500_000.0  # delay after the first failed list call; doubles up to the configured maximum
MAX_LIST_RETRY_US = 8_000_000.0  # longest interval between list calls if none is configured
HOLD_TIME_FRACTION = 0.48  # an unsent request is given up after its aim or this part of its time, if less
DEADLINE_TOLERANCE_US = 30_000  # deadlines of a request and its retry differ only by message delays
NO_TIMER = 1 << 62

# Attempts that were certainly not executed; any request class may be sent again.
NOT_EXECUTED = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
MAYBE_RUNNING = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN})


_RetryKey = tuple[str, str, int, float]  # volume, key, class, units: equal for a request and its retry


class _Request:
    def __init__(
        self,
        arrival: api.Arrival,
        class_settings: api.RequestClass,
        lane: _Lane,
        now: int,
        seq: int,
        aim_at: int | None,
    ) -> None:
        self.id, self.class_settings, self.lane, self.seq = arrival.request, class_settings, lane, seq
        self.units, self.key, self.arrived_at = arrival.units, arrival.key, now
        # The aim of a client's retry counts from its first try, so that the retry does not take capacity from
        # requests that can still be in time.
        self.deadline_at = now + arrival.time_left_us
        self.aim_at = now + min(class_settings.aim_us, arrival.time_left_us) if aim_at is None else aim_at
        self.retry_key = (arrival.volume, arrival.key, arrival.request_class, arrival.units)
        self.attempts: list[tuple[_Node, int] | None] = []  # (node, sent at); None once the outcome is known
        self.in_flight, self.queue_key = 0, (self.aim_at, seq)
        self.maybe_ran_at = -1  # send time of the first attempt that may have been executed
        self.bound_node: _Node | None = None  # node of that attempt: repeats stay within its group
        self.hold_until = min(now + int(arrival.time_left_us * HOLD_TIME_FRACTION), self.aim_at)
        self.tokens_spent = self.queued = self.late = self.finished = self.streaming = self.reached = False
        self.spend_pending, self.spent_at = False, 0  # tokens are spent, but no node has received the request
        self.counted = False  # included in the queued units of its lane
        self.waited_for_tokens = False  # has been the head of its lane without enough tokens


class _Node:
    def __init__(self, node: str) -> None:
        self.id, self.shard, self.zone, self.ready, self.ready_index = node, -1, 0, False, -1
        self.history = NodeHistory(node)
        self.timeouts = self.last_timeout_at = 0  # time-outs since the last answer
        self.in_flight_units, self.rate, self.rate_at, self.rtt, self.rtt_at = 0.0, 0.0, 0, 0.0, 0
        self.heard_at = self.paused_until = self.recheck_at = 0
        self.broken_connections = 0  # connections broken since the last answer; refused ones count twice
        self.trial_interval = 0.0  # microseconds; above 0 while the node counts as silent


class _Volume:
    def __init__(
        self, plan: api.Plan, part: LimitPart | None, gateways: int, now: int, max_units: float
    ) -> None:
        self.plan, self.part, self.gateways = plan, part, gateways
        self.reserve_depth = plan.reserve_units_per_s + max_units if plan.reserve_units_per_s else 0.0
        self.reserve, self.reserve_at = self.reserve_depth, now
        self.lanes: dict[int, _Lane] = {}
        self.queued_units = 0.0  # in all lanes


class _Lane:
    """A volume's queue at one shard: FIFO by arrival, also for requests that are queued again."""

    def __init__(self, volume: _Volume, shard: _Shard) -> None:
        self.volume, self.shard, self.tag, self.version = volume, shard, 0.0, 0
        self.heap: list[tuple[tuple[int, int], _Request]] = []
        self.queued_units = 0.0  # of requests that can still meet their aim
        self.backlog_weight = 0.0  # weight of this lane in the shard's backlog


class _Shard:
    def __init__(self, number: int) -> None:
        self.number, self.tag, self.requested_at = number, 0.0, -1
        self.nodes: list[_Node] = []
        self.backlog = Backlog()
        # Ready lanes, as (key, sequence number, version, lane): by the time the reserve suffices, and by tag.
        self.by_reserve: list[tuple[float, int, int, _Lane]] = []
        self.by_tag: list[tuple[float, int, int, _Lane]] = []
        self.late: list[tuple[int, int, _Request]] = []  # requests past their aim, by deadline


class Controller:
    """One gateway's decisions: pass each batch of events to `handle` and carry out the returned actions."""

    def __init__(self, settings: Settings, buckets: Buckets | None = None) -> None:
        """`buckets`: the token buckets of limits; None: this process alone uses the gateway's part."""
        self.settings = settings
        self.buckets: Buckets = buckets or LimitBuckets(settings.max_units)
        self.process_count, self.rank = 1, 0  # number of processes of this gateway, and this one's index
        self.random = random.Random(settings.seed)
        self.tightest_aim = float(min(c.aim_us for c in settings.classes))
        self.margin_us = 2 * settings.step_us
        self.now = self.seq = 0
        self.started_at, self.loss = -1, 0.0  # `loss`: fraction of answers that seem to be lost
        self.timer_at = NO_TIMER
        self.actions: list[Action] = []
        # (request, wait for tokens) if they are recorded
        self.token_waits: list[tuple[str, float]] | None = None
        self.scheduled: list[tuple[int, int, Callable[[], None], _Request | None]] = []
        self.requests: dict[str, _Request] = {}
        self.volumes: dict[tuple[str, int], _Volume] = {}
        self.nodes: dict[str, _Node] = {}
        self.ready_nodes: list[_Node] = []  # the ready nodes, each at its index `ready_index`
        self.leaving: dict[str, _Node] = {}  # not ready; dropped once nothing is in flight there
        self.all_nodes = _Node("")  # mean answer time and total rate of all nodes
        self.shards: dict[int, _Shard] = {}
        self.key_queues: dict[str, deque[_Request]] = {}
        self.key_rests: dict[str, int] = {}  # when the next request of an ordered key may be sent
        self.expected_retries: dict[_RetryKey, list[tuple[int, int]]] = {}  # unserved: (deadline, aim)
        self.retry_expiries: deque[tuple[int, _RetryKey]] = deque()
        self.arrival_times: deque[int] = deque()
        self.resend_times: deque[int] = deque()
        self.list_retry_us, self.list_call = LIST_RETRY_US, 0
        self.max_list_wait_us = settings.ask_every_us * 0.5 or MAX_LIST_RETRY_US
        self.slow_start = SlowStart(settings, 0)
        self.contenders, self.contenders_until = float(settings.gateways), 0
        self.unserved_shards: dict[int, _Shard] = {}  # to be served after the current event
        self.new_objects = self.shards[-1] = _Shard(-1)  # requests that any node may take

    def handle(self, now_us: int, events: Sequence[api.Event]) -> list[Action]:
        """Process a batch of events that happened until `now_us`; the actions to carry out, in order."""
        self.now = now_us
        if self.started_at < 0:
            self.started_at = now_us
            self.slow_start = SlowStart(self.settings, now_us)
            self.buckets.begin(now_us)
            if self.settings.list_on_request:
                self._subscribe()
        for event in events:
            match event:
                case api.Answer():
                    self._handle_answer(event)
                case api.Arrival():
                    self._handle_arrival(event)
                case api.ListUpdate():
                    self._handle_list(event)
                case api.Began(request) if request in self.requests:
                    self.requests[request].streaming = True
                    if event.node in self.nodes:
                        self._record_response(self.nodes[event.node], event.rtt_us)
                case api.Withdrawn(request) if request in self.requests:
                    self._cancel(self.requests[request])
                    self._finish(self.requests[request])
                case api.LimitsChanged(volume, plan):
                    self._handle_limits_changed(volume, plan)
                case api.ProcessesChanged(process_count, rank):
                    self.process_count, self.rank = process_count, rank
                case api.ProbeResult(node, Outcome.DONE) if node in self.nodes:
                    self._record_response(self.nodes[node], 0)
            self._serve_marked()
        self.timer_at = self.timer_at if self.timer_at > now_us else NO_TIMER
        while self.scheduled and self.scheduled[0][0] <= now_us:
            heappop(self.scheduled)[2]()
            self._serve_marked()
        while self.scheduled and (owner := self.scheduled[0][3]) is not None and owner.finished:
            heappop(self.scheduled)  # most requests finish long before their calls are due: set no timer
        if self.scheduled and self.scheduled[0][0] < self.timer_at:
            self.timer_at = self.scheduled[0][0]
            self.actions.append(api.SetTimer("due", self.timer_at - now_us))
        actions, self.actions = self.actions, []
        return actions

    def _mark_shard(self, shard: _Shard) -> None:
        """Serve the shard after the current event: serving must not be re-entered."""
        self.unserved_shards[shard.number] = shard

    def _serve_marked(self) -> None:
        while self.unserved_shards:
            self._serve(self.unserved_shards.pop(next(iter(self.unserved_shards))))

    def _schedule(self, when: float, call: Callable[[], None], owner: _Request | None = None) -> None:
        """Run `call` at `when`; it may be dropped once the request `owner` has finished."""
        self.seq += 1
        heappush(self.scheduled, (max(self.now + 1, math.ceil(when)), self.seq, call, owner))

    # --- node list

    def _subscribe(self) -> None:
        self.actions.append(api.Subscribe())
        # Subscribe again if no answer comes, or the list would grow stale.
        self._subscribe_after(self.max_list_wait_us)

    def _subscribe_after(self, wait_us: float) -> None:
        self.list_call += 1
        call = self.list_call

        def again() -> None:
            if call == self.list_call:
                self._subscribe()

        self._schedule(self.now + wait_us, again)

    def _handle_list(self, update: api.ListUpdate) -> None:
        if update.kind is ListKind.FAILED:
            # When the list service is down all gateways fail together: spread and lengthen their retries.
            wait_us = self.list_retry_us * (0.5 + self.random.random())
            self.list_retry_us = min(self.list_retry_us * 2, MAX_LIST_RETRY_US, self.max_list_wait_us)
            self._subscribe_after(wait_us)
            return
        if update.kind is not ListKind.CACHED:
            self.list_retry_us = LIST_RETRY_US
            self.list_call += 1
        changed_shards: dict[int, None] = {}
        if update.kind is not ListKind.DELTA:
            listed_names = {entry.node for entry in update.nodes}
            for node in self.nodes.values():
                if node.id not in listed_names:
                    self._set_ready(node, False)
        for entry in update.nodes:
            known = self.nodes.get(entry.node)
            if known is None:
                known = self.nodes[entry.node] = _Node(entry.node)
            if (
                entry.launched_us > known.history.launched_us
                and known.history.launched_us + known.rate_at > 0
            ):
                # The node has restarted: discard what was measured before.
                known.rate, known.rtt_at, known.trial_interval, known.paused_until = 0.0, 0, 0.0, 0
            if entry.launched_us > known.history.launched_us:
                known.history.restarted(entry.launched_us)
            known.zone = entry.zone
            if entry.shard != known.shard:
                if known.shard >= 0:
                    self.shards[known.shard].nodes.remove(known)
                known.shard = entry.shard
                self.shards.setdefault(entry.shard, _Shard(entry.shard)).nodes.append(known)
            self._set_ready(known, entry.state is NodeState.READY)
            changed_shards[entry.shard] = None
        for node in [n for n in self.leaving.values() if not n.history.in_flight]:
            del self.nodes[node.id], self.leaving[node.id]
            self.shards[node.shard].nodes.remove(node)
        for number in changed_shards:
            self._mark_shard(self.shards[number])
        self._mark_shard(self.new_objects)

    def _set_ready(self, node: _Node, ready: bool) -> None:
        """Add the node to the ready ones or remove it, in constant time: the last one takes its place."""
        if ready and node.ready_index < 0:
            node.ready_index = len(self.ready_nodes)
            self.ready_nodes.append(node)
        elif not ready and node.ready_index >= 0:
            last = self.ready_nodes[-1]
            self.ready_nodes[node.ready_index], last.ready_index = last, node.ready_index
            self.ready_nodes.pop()
            node.ready_index = -1
        node.ready = ready
        self.leaving.pop(node.id, None)
        if not ready:
            self.leaving[node.id] = node

    # --- arriving requests

    def _handle_arrival(self, arrival: api.Arrival) -> None:
        for name, known in (("request_class", self.settings.classes), ("plan", self.settings.plans)):
            if not 0 <= getattr(arrival, name) < len(known):
                raise ValueError(f"{name}: {getattr(arrival, name)} is not defined in the settings")
        if arrival.request in self.requests:
            return
        class_settings = self.settings.classes[arrival.request_class]
        volume = self._volume_for(arrival)
        shard = self.shards.setdefault(arrival.shard, _Shard(arrival.shard))
        shard.requested_at = self.now
        lane = volume.lanes.setdefault(arrival.shard, _Lane(volume, shard))
        self.seq += 1
        request = _Request(arrival, class_settings, lane, self.now, self.seq, self._aim_of_first_try(arrival))
        self.requests[arrival.request] = request
        if self.settings.resend_ratio is not None:
            self.arrival_times.append(self.now)
        self._schedule(request.deadline_at - self.margin_us, lambda: self._expire(request), request)
        self._schedule(request.hold_until, lambda: self._expire_unsent(request), request)
        if class_settings.ordered and arrival.key:
            key_queue = self.key_queues.setdefault(arrival.key, deque())
            key_queue.append(request)
            if key_queue[0] is not request or self.key_rests.get(arrival.key, 0) > self.now:
                return
        if self._would_miss_aim(request):
            self._refuse_or_fail(request)
        else:
            self._enqueue(request)

    def _would_miss_aim(self, request: _Request) -> bool:
        """Whether the queue ahead takes the request past its aim, at the rate of its nodes or its limit."""
        lane, volume, shard = request.lane, request.lane.volume, request.lane.shard
        time_left = request.aim_at - self.now
        if self.process_count == 1 and volume.part is not None and volume.queued_units:
            alone = self._token_wait_us(request)
            if (
                limit_wait_us(alone, volume.queued_units, volume.part.units_per_us)
                > time_left + self.tightest_aim
            ):
                request.waited_for_tokens = True
                return True
        if shard.number < 0 or shard.backlog.standing_since < 0:
            return False
        if volume.plan.reserve_units_per_s and self._refill_reserve(volume) >= request.units:
            return False
        ready = [node for node in shard.nodes if node.ready]
        if not all(self._rate_is_known(node) for node in ready):
            return False
        rate = sum(self._rate(node) for node in ready)
        wait_us = node_wait_us(
            shard.backlog,
            self.now,
            self.tightest_aim,
            volume.plan.weight,
            lane.queued_units,
            request.units,
            rate,
            RATE_TIME_CONSTANT_US,
        )
        return wait_us > time_left

    def _rate_is_known(self, node: _Node) -> bool:
        """Whether the node's rate shows its capacity: it answers, and slow start does not hold it back."""
        answers = not node.trial_interval and node.history.last_served_at >= self.now - self.tightest_aim
        return answers and not self.slow_start.is_cold(node.history, self.now)

    def _count_queued(self, request: _Request) -> None:
        lane = request.lane
        request.counted = True
        lane.queued_units += request.units
        lane.volume.queued_units += request.units
        if not lane.backlog_weight:
            lane.backlog_weight = lane.volume.plan.weight
            lane.shard.backlog.weight += lane.backlog_weight

    def _uncount_queued(self, request: _Request) -> None:
        if not request.counted:
            return
        lane = request.lane
        request.counted = False
        lane.volume.queued_units = max(0.0, lane.volume.queued_units - request.units)
        lane.queued_units = max(0.0, lane.queued_units - request.units)
        if lane.queued_units <= EPSILON:
            lane.shard.backlog.weight = max(0.0, lane.shard.backlog.weight - lane.backlog_weight)
            lane.queued_units = lane.backlog_weight = 0.0

    def _volume_for(self, arrival: api.Arrival) -> _Volume:
        plan, gateways = self.settings.plans[arrival.plan], max(1, arrival.gateways)
        volume = self.volumes.pop((arrival.volume, arrival.plan), None)
        if volume is None:
            self._drop_idle_volume()
            part = limit_part(plan, arrival.volume, arrival.plan, gateways)
            volume = _Volume(plan, part, gateways, self.now, self.settings.max_units)
        elif volume.plan is not plan or volume.gateways < gateways:
            # New settings also apply to known volumes; their tokens are kept up to the new depth.
            volume.plan, volume.gateways = plan, max(volume.gateways, gateways)
            volume.part = limit_part(plan, arrival.volume, arrival.plan, volume.gateways)
        self.volumes[arrival.volume, arrival.plan] = volume  # the least recently used one comes first
        return volume

    def _aim_of_first_try(self, arrival: api.Arrival) -> int | None:
        """The aim of the unserved request that this one retries; None: it is not a retry.

        A retry asks for the same and has the same deadline. A short time until the deadline alone is no sign
        of a retry: some clients always set one.
        """
        while self.retry_expiries and self.retry_expiries[0][0] < self.now:
            _, retry_key = self.retry_expiries.popleft()
            if not (valid := [t for t in self.expected_retries.get(retry_key, ()) if t[0] >= self.now]):
                self.expected_retries.pop(retry_key, None)
            else:
                self.expected_retries[retry_key] = valid
        tries = self.expected_retries.get(
            (arrival.volume, arrival.key, arrival.request_class, arrival.units), []
        )
        for i, (deadline_at, aim_at) in enumerate(tries):
            if abs(deadline_at - self.now - arrival.time_left_us) <= DEADLINE_TOLERANCE_US:
                del tries[i]
                return aim_at
        return None

    def _drop_idle_volume(self) -> None:
        """Drop the least recently used volume if its queues are empty and its buckets as full as new ones."""
        if (key := next(iter(self.volumes), None)) is not None:
            volume = self.volumes[key]
            if self._refill_reserve(volume) < volume.reserve_depth or any(
                self._head(lane) for lane in volume.lanes.values()
            ):
                return
            if volume.part is None or self.buckets.forget_full(volume.part, self.now):
                del self.volumes[key]

    def _enqueue(self, request: _Request) -> None:
        """Put a request into its lane, and serve the shard after the current event."""
        if request.finished or request.queued or request.in_flight:
            return
        request.queued = True
        if request.late:
            heappush(request.lane.shard.late, (request.deadline_at, request.seq, request))
        else:
            heappush(request.lane.heap, (request.queue_key, request))
            self._count_queued(request)
            if request.lane.heap[0][1] is request:
                self._place_head(request.lane)
        self._mark_shard(request.lane.shard)

    # --- token buckets

    def _token_wait_us(self, request: _Request) -> float:
        """Microseconds until the volume's bucket has the tokens for the request."""
        part = request.lane.volume.part
        if request.tokens_spent or part is None:
            return 0.0
        return self.buckets.wait_us(part, request.units, self.now)

    def _handle_limits_changed(self, volume_name: str, plan: int) -> None:
        """Re-evaluate the heads that wait for tokens."""
        changed = [self.volumes.get((volume_name, plan))] if volume_name else list(self.volumes.values())
        for volume in changed:
            if volume is None or volume.part is None:
                continue
            for lane in volume.lanes.values():
                self._place_head(lane)
                self._mark_shard(lane.shard)

    def written(self, request_id: str, now_us: int) -> None:
        """The request has been written to a node completely. Called at once, also between batches."""
        request = self.requests.get(request_id)
        if request is not None and request.spend_pending and request.lane.volume.part is not None:
            request.spend_pending = False
            self.buckets.written(request.lane.volume.part, request.units, now_us)

    def _return_tokens(self, request: _Request) -> None:
        """Return the tokens spent on a request that no node has received."""
        request.spend_pending = request.tokens_spent = False
        if request.lane.volume.part is not None:
            self.buckets.release(request.lane.volume.part, request.units, request.spent_at, self.now)

    def _refill_reserve(self, volume: _Volume) -> float:
        """Tokens of the reserve's bucket, which holds one second of it plus one request of maximum size."""
        refill = (self.now - volume.reserve_at) * volume.plan.reserve_units_per_s / 1e6
        volume.reserve = min(volume.reserve_depth, volume.reserve + refill)
        volume.reserve_at = self.now
        return volume.reserve

    # --- heads of lanes

    def _head(self, lane: _Lane) -> _Request | None:
        while lane.heap:
            request = lane.heap[0][1]
            if not request.finished and request.queued and not request.late:
                return request
            heappop(lane.heap)
        return None

    def _place_head(self, lane: _Lane) -> None:
        """Schedule the lane's head for when its tokens suffice, or put the lane among the ready ones.

        Entries of the lane with an older version are void.
        """
        lane.version += 1
        request = self._head(lane)
        if request is None:
            return
        wait_us = self._token_wait_us(request)
        if wait_us > 0:
            request.waited_for_tokens = True
            if self.token_waits is not None:
                self.token_waits.append((request.id, wait_us))
            version = lane.version
            if wait_us < math.inf:
                self._schedule(self.now + wait_us, lambda: self._tokens_due(lane, version))
            return
        shard, volume = lane.shard, lane.volume
        lane.tag = max(lane.tag, shard.tag)
        self.seq += 1
        heappush(shard.by_tag, (lane.tag, self.seq, lane.version, lane))
        if volume.plan.reserve_units_per_s > 0:
            heappush(shard.by_reserve, (self._reserve_due_at(request), self.seq, lane.version, lane))

    def _reserve_due_at(self, request: _Request) -> float:
        missing = max(0.0, request.units - self._refill_reserve(request.lane.volume))
        return self.now + missing * 1e6 / request.lane.volume.plan.reserve_units_per_s

    def _tokens_due(self, lane: _Lane, version: int) -> None:
        if lane.version == version:
            self._place_head(lane)
            self._mark_shard(lane.shard)

    def _next_lane(self, shard: _Shard) -> tuple[int, float, int, _Lane] | None:
        """The lane whose head goes next, as (0, reserve due time, version, lane) or (1, tag, version, lane).

        Heads within their volume's reserve come first, then the one with the lowest weight tag.
        """
        while shard.by_reserve:
            due_at, seq, version, lane = shard.by_reserve[0]
            if lane.version != version:
                heappop(shard.by_reserve)
                continue
            if due_at > self.now:
                break
            request = self._head(lane)
            if request is None or self._skip_head(lane, request):
                self._place_head(lane)
                continue
            if (current := self._reserve_due_at(request)) <= self.now + 1:
                return 0, due_at, version, lane
            heapreplace(shard.by_reserve, (current, seq, version, lane))
        while shard.by_tag:
            tag, seq, version, lane = shard.by_tag[0]
            if lane.version != version:
                heappop(shard.by_tag)
                continue
            request = self._head(lane)
            if request is not None and not self._skip_head(lane, request):
                return 1, tag, version, lane
            self._place_head(lane)
        return None

    def _skip_head(self, lane: _Lane, request: _Request) -> bool:
        """Whether the head must not be sent now: it cannot meet its aim, or another lane took its tokens."""
        nodes = lane.shard.nodes
        expected_us = (self._rtt(nodes[-1]) if nodes else self.all_nodes.rtt) * self._size_factor(request)
        expected_us = min(request.class_settings.aim_us * MAX_EXPECTED_AIM_FRACTION, expected_us)
        if self.now + expected_us > request.aim_at:
            # Under overload a FIFO would serve only requests that are late already. So a request that cannot
            # meet its aim waits for spare capacity; an ordered one with others behind it is refused to free
            # its key.
            heappop(lane.heap)
            self._uncount_queued(request)
            request.late = True
            key_queue = self.key_queues.get(request.key) if request.class_settings.ordered else None
            if key_queue is not None and len(key_queue) > 1 and self._may_refuse(request):
                self._refuse_or_fail(request)
            else:
                heappush(lane.shard.late, (request.deadline_at, request.seq, request))
            return True
        return self._token_wait_us(request) > 0

    # --- nodes and their capacity

    def _max_in_flight_units(self, node: _Node) -> float:
        """Units that may be in flight at a node: its rate here times a fraction of the tightest aim."""
        rate = self._rate(node) if node.rtt_at else self._rate(self.all_nodes) / max(1, len(self.ready_nodes))
        # Many gateways with the minimum number of requests each, or requests costlier than their units, can
        # fill a node's queue past every aim. Whatever the cause, answers slower than that fraction of the aim
        # reduce the minimum.
        mean_units, service_us = self.settings.mean_units, self.tightest_aim * IN_FLIGHT_AIM_FRACTION
        min_units = (
            MIN_IN_FLIGHT_REQUESTS * mean_units * min(1.0, service_us / max(1.0, self._rtt(node))) ** 2
        )
        return min(MAX_IN_FLIGHT_REQUESTS * mean_units, max(min_units, rate * service_us / 1e6))

    def _rate(self, node: _Node) -> float:
        """Units per second that the node has served for this gateway recently."""
        return node.rate * math.exp((node.rate_at - self.now) / RATE_TIME_CONSTANT_US)

    def _room(self, node: _Node, units: float, reserved: bool) -> float:
        """Units that may still be sent to the node; 0 or less: full, silent, paused or too cold."""
        if node.paused_until > self.now:
            return 0.0
        silent = self.now - node.heard_at > self.tightest_aim * SILENCE_TIMEOUT_AIMS
        if silent and not node.trial_interval and (node.history.in_flight or node.timeouts > 1):
            # Every request sent to a node that has died or hangs is lost. Send it one trial at a time, at
            # growing intervals, until it answers, whatever the cause.
            self._mark_silent(node)
            return 0.0
        if self._is_held_by_slow_start(node, units):
            return 0.0
        if node.trial_interval:
            return EPSILON
        max_units, mean_units = self._max_in_flight_units(node), self.settings.mean_units
        if max_units < mean_units and not reserved:
            # With many gateways, one request in flight for each is a long queue already. So a cap below one
            # request becomes a rate: the time between sends keeps that much in flight on average. Requests
            # within a reserve are exempt.
            next_send_at = node.history.last_sent_at + int(self._rtt(node) * mean_units / max_units)
            if next_send_at > self.now:
                self._schedule_recheck(node, next_send_at)
                return 0.0
        return max_units - node.in_flight_units

    def _mark_silent(self, node: _Node) -> None:
        """Pause the node until its next trial, with jitter."""
        node.trial_interval = max(self.tightest_aim, node.trial_interval * TRIAL_BACKOFF_FACTOR)
        node.trial_interval = min(node.trial_interval, self.tightest_aim * MAX_TRIAL_INTERVAL_AIMS)
        self._pause_node(node, node.trial_interval * (0.75 + self.random.random() / 2))

    def _pause_node(self, node: _Node, duration_us: float) -> None:
        node.paused_until = max(node.paused_until, self.now + int(duration_us))
        self._schedule_recheck(node, node.paused_until)

    def _schedule_recheck(self, node: _Node, when: int) -> None:
        """Check again at `when` whether the node has room.

        At most one check is pending: since checks schedule further checks, they would multiply otherwise.
        """
        if self.now < node.recheck_at <= when:
            return
        node.recheck_at = max(when, self.now + 1)
        self._schedule(node.recheck_at, lambda: self._mark_shards_of(node))

    def _is_held_by_slow_start(self, node: _Node, units: float) -> bool:
        """Whether a request has to wait, as all gateways together could overload a cold node."""
        if not self.slow_start.is_cold(node.history, self.now):
            return False
        # Each process counts as a gateway of its own, so that all of this gateway's keep to its share.
        shares = Shares(
            gateways=self.settings.gateways * self.process_count,
            position=self.settings.position * self.process_count + self.rank,
            contenders=self._contending_gateways() * self.process_count,
        )
        admits_at = self.slow_start.admits_at(node.history, units, self.now, shares)
        if admits_at <= self.now:
            return False
        if admits_at < math.inf:
            self._schedule_recheck(node, int(admits_at))
        return True

    def _contending_gateways(self) -> float:
        """Estimated number of gateways with work for the same node, recalculated at intervals."""
        if self.now >= self.contenders_until:
            since = max(0, self.now - CONTENDERS_WINDOW_US)
            requested = sum(shard.requested_at > since for shard in self.shards.values())
            running_us = self.now - self.started_at
            self.contenders = contending_gateways(
                self.settings.gateways, requested, len(self.shards) - 1, running_us
            )
            self.contenders_until = self.now + int(self.tightest_aim * RETRY_DELAY_AIMS)
        return self.contenders

    def _pick_node(self, shard: _Shard, request: _Request, reserved: bool = False) -> _Node | None:
        """The ready node of the shard with the most room; for a new object the best of a random sample."""
        best, max_room, candidates = None, 0.0, shard.nodes
        if shard.number < 0:
            # With equal data all gateways would pick the same node, and the cost of looking at every node
            # grows with the fleet.
            candidates = self.random.sample(self.ready_nodes, min(SAMPLED_NODES, len(self.ready_nodes)))
        for node in candidates:
            if not node.ready or (
                request.bound_node is not None
                and not self._same_group(request.bound_node, node, request.class_settings)
            ):
                continue
            if (room := self._room(node, request.units, reserved)) > max_room:
                best, max_room = node, room
        return best

    def _same_group(self, bound_node: _Node, node: _Node, class_settings: api.RequestClass) -> bool:
        """Whether a request that may have run at `bound_node` may be repeated at `node`."""
        if class_settings.effect is not Effect.KEYED or class_settings.group == "all":
            return True
        return (
            bound_node.zone == node.zone if class_settings.group == "zone" else bound_node.shard == node.shard
        )

    def _mark_shards_of(self, node: _Node) -> None:
        if node.shard >= 0:
            self._mark_shard(self.shards[node.shard])
        self._mark_shard(self.new_objects)

    def _serve(self, shard: _Shard) -> None:
        """Send ready heads of the shard while its nodes have room, then late requests if a node is idle."""
        while (found := self._next_lane(shard)) is not None:
            if shard.number >= 0 and self.new_objects.by_tag:
                other = self._next_lane(self.new_objects)
                if other is not None and other[:2] < found[:2] and self._send_head(self.new_objects, other):
                    continue
            if not self._send_head(shard, found):
                shard.backlog.mark_standing(self.now)
                return
        shard.backlog.mark_cleared()
        while shard.late:
            request = shard.late[0][2]
            if request.finished or not request.queued or self.now + self.margin_us >= request.deadline_at:
                heappop(shard.late)
                continue
            if self._token_wait_us(request) > 0:
                return
            if (node := self._idle_node(shard, request)) is None:
                return
            if request.attempts and not self._may_resend(request):
                return
            heappop(shard.late)
            self._send(request, node)

    def _idle_node(self, shard: _Shard, request: _Request) -> _Node | None:
        """A node without requests in flight and with short answer times, which may take a late request."""
        node = self._pick_node(shard, request)
        return (
            node
            if node
            and not node.history.in_flight
            and self._rtt(node) <= self.tightest_aim * IN_FLIGHT_AIM_FRACTION
            else None
        )

    def _send_head(self, shard: _Shard, found: tuple[int, float, int, _Lane]) -> bool:
        """Send the head of the lane that `_next_lane` returned; False: no node has room for it."""
        lane = found[3]
        if lane.version != found[2]:
            return True  # checking the lanes of new objects has changed this lane
        request = lane.heap[0][1]
        if request.attempts and not self._may_resend(request):
            heappop(lane.heap)
            self._uncount_queued(request)
            request.queued = False
            self._place_head(lane)
            return True
        node = self._pick_node(shard, request, found[0] == 0)
        if node is None:
            return False
        heappop(lane.heap)
        shard.tag = max(shard.tag, lane.tag)
        lane.tag += request.units / lane.volume.plan.weight
        self._send(request, node)
        self._place_head(lane)
        return True

    def _may_resend(self, request: _Request) -> bool:
        """Whether the resend budget and the key's lifetime allow another attempt now.

        If not, the request is queued again later, or ended when the key's lifetime is over.
        """
        settings = self.settings
        if (
            request.maybe_ran_at >= 0
            and request.class_settings.effect is Effect.KEYED
            and self.now >= request.maybe_ran_at + request.class_settings.key_ttl_us
        ):
            self._refuse_or_fail(request)
            return False
        if settings.resend_ratio is None:
            return True
        for window in (self.arrival_times, self.resend_times):
            while window and window[0] <= self.now - settings.resend_span_us:
                window.popleft()
        if len(self.resend_times) + 1 <= (settings.resend_free or 0) + settings.resend_ratio * len(
            self.arrival_times
        ):
            return True
        self._schedule(self.now + self.tightest_aim * RETRY_DELAY_AIMS, lambda: self._enqueue(request))
        return False

    def _send(self, request: _Request, node: _Node) -> None:
        volume, spends = request.lane.volume, False
        if not request.tokens_spent:
            request.tokens_spent = True
            if volume.part is not None:
                self.buckets.spend(volume.part, request.units, self.now)
                spends = request.spend_pending = self.buckets.tracks_writes
                request.spent_at = self.now
            self._refill_reserve(volume)
            volume.reserve = max(-volume.plan.reserve_units_per_s, volume.reserve - request.units)
        if request.attempts and self.settings.resend_ratio is not None:
            self.resend_times.append(self.now)
        self._uncount_queued(request)
        request.queued = False
        request.attempts.append((node, self.now))
        request.in_flight += 1
        if not node.history.in_flight and node.timeouts < 2:
            node.heard_at = self.now
        node.in_flight_units += request.units
        node.history.record_send(request.units, self.now)
        if node.trial_interval:
            self._mark_silent(node)
        # An attempt ends at its aim: a later answer is worth little, yet the work would delay requests that
        # can still be in time.
        timeout_us = max(0, request.aim_at - self.now)
        if self.loss >= LOSS_THRESHOLD and request.class_settings.effect is not Effect.UNSAFE:
            # A lost answer would cost the whole request: repeat an overdue attempt while the aim can be met.
            expected_us = self._rtt(node) * self._size_factor(request)
            if (
                expected_us
                and expected_us * (LOSS_TIMEOUT_RTTS + 1) <= timeout_us
                and len(request.attempts) < self.settings.max_attempts
            ):
                timeout_us = int(expected_us * LOSS_TIMEOUT_RTTS)
        self.actions.append(api.Send(request.id, node.id, timeout_us, spends))

    # --- answers

    def _size_factor(self, request: _Request) -> float:
        """Expected answer time of the request relative to one of mean size.

        Without it, large requests would make the node look slow and small requests unable to meet their aim.
        """
        return 1 - SIZE_RTT_FRACTION + SIZE_RTT_FRACTION * request.units / self.settings.mean_units

    def _record_response(self, node: _Node, rtt_us: float) -> None:
        node.heard_at, node.trial_interval, node.timeouts, node.broken_connections = self.now, 0.0, 0, 0
        if rtt_us:
            self._update_rtt(node, rtt_us)

    def _update_rtt(self, node: _Node, rtt_us: float) -> None:
        """Add an answer time to the means.

        One of many gateways hears from a node seldom, so the weight of old answers decays with time.
        """
        node.rtt = (mean := self._rtt(node)) + (rtt_us - mean) * max(RTT_GAIN, 1 - self._rtt_weight(node))
        node.rtt_at = self.now
        self.all_nodes.rtt += (rtt_us - self.all_nodes.rtt) * (RTT_GAIN if self.all_nodes.rtt else 1.0)

    def _rtt_weight(self, node: _Node) -> float:
        """Weight of the node's own mean answer time against that of all nodes: 1 if new, decaying to 0."""
        return math.exp((node.rtt_at - self.now) / RTT_TIME_CONSTANT_US) if node.rtt_at else 0.0

    def _rtt(self, node: _Node) -> float:
        """The node's mean answer time, mixed with that of all nodes as it grows old."""
        return self.all_nodes.rtt + (node.rtt - self.all_nodes.rtt) * self._rtt_weight(node)

    def _handle_answer(self, answer: api.Answer) -> None:
        request = self.requests.get(answer.request)
        if (
            request is None
            or not 0 <= answer.attempt < len(request.attempts)
            or (attempt := request.attempts[answer.attempt]) is None
        ):
            return
        node, sent_at = attempt
        request.attempts[answer.attempt] = None
        request.in_flight -= 1
        node.history.in_flight -= 1
        node.in_flight_units = (
            max(0.0, node.in_flight_units - request.units) if node.history.in_flight else 0.0
        )
        outcome, timeouts = answer.outcome, node.timeouts
        if outcome in (Outcome.DONE, Outcome.ERROR, Outcome.FULL):
            if node.trial_interval:
                node.paused_until = self.now
            self._record_response(
                node, answer.rtt_us / self._size_factor(request) if outcome is Outcome.DONE else 0
            )
        if outcome is Outcome.DONE:
            # A time-out followed by a quick answer was a lost answer, not a slow or silent node.
            after_timeout = (
                timeouts > 0 and self.now - node.last_timeout_at < self.tightest_aim * LOSS_WINDOW_AIMS
            )
            self.loss += (
                (after_timeout and answer.rtt_us < self.tightest_aim * LOSS_MAX_RTT_AIMS) - self.loss
            ) * LOSS_GAIN
            node.history.last_served_at = self.now
            for measured in (node, self.all_nodes):
                measured.rate = self._rate(measured) + request.units * 1e6 / RATE_TIME_CONSTANT_US
                measured.rate_at = self.now
            volume = request.lane.volume
            if answer.elsewhere_units and volume.plan.reserve_units_per_s:
                # Units that the node served for other gateways have used the volume's reserve too.
                volume.reserve = max(
                    -volume.plan.reserve_units_per_s, self._refill_reserve(volume) - answer.elsewhere_units
                )
        elif outcome is Outcome.FULL:
            self._pause_node(node, self.tightest_aim * RETRY_DELAY_AIMS * (0.5 + self.random.random()))
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            # One broken connection does not mean that the node is down, the next attempt shows it; but two
            # refused ones do.
            node.broken_connections += 2 if outcome is Outcome.CONNECT_FAILED else 1
            if node.broken_connections >= MAX_BROKEN_CONNECTIONS:
                self._mark_silent(node)
        elif outcome is Outcome.MOOT and not answer.closed:
            self._pause_node(node, self.tightest_aim * RETRY_DELAY_AIMS * (0.5 + self.random.random()))
        elif outcome is Outcome.TIMEOUT:
            node.timeouts, node.last_timeout_at = node.timeouts + 1, self.now
            if self.loss < LOSS_THRESHOLD or node.timeouts > 1:
                self._update_rtt(
                    node, max(self._rtt(node), (self.now - sent_at) / self._size_factor(request))
                )
        request.reached = request.reached or outcome not in (Outcome.CONNECT_FAILED, Outcome.MOOT)
        if request.reached and request.spend_pending:
            self.written(request.id, self.now)
        elif outcome is Outcome.MOOT and request.spend_pending and not request.in_flight:
            # The tokens were spent too long ago, or for a node that has moved: they have to be spent again.
            self._return_tokens(request)
        if outcome not in NOT_EXECUTED and request.maybe_ran_at < 0:
            request.maybe_ran_at, request.bound_node = sent_at, node
        if outcome in MAYBE_RUNNING and request.key and request.class_settings.ordered:
            self.key_rests[request.key] = self.now + self.settings.key_rest_us
        if answer.closed or request.finished:
            self._finish(request)
        elif not request.in_flight:
            must_not_repeat = request.maybe_ran_at >= 0 and request.class_settings.effect is Effect.UNSAFE
            if request.streaming or must_not_repeat or len(request.attempts) >= self.settings.max_attempts:
                self._refuse_or_fail(request)
            else:
                self._enqueue(request)
                self._expire_unsent(request)
        self._mark_shards_of(node)

    # --- final answers

    def _may_refuse(self, request: _Request) -> bool:
        """Whether a retry by the client does no harm, which a refusal promises."""
        if request.class_settings.effect is Effect.SAFE or (
            request.maybe_ran_at < 0 and not request.in_flight
        ):
            return True
        return request.class_settings.effect is Effect.KEYED and request.class_settings.group == "all"

    def _retry_after_us(self, request: _Request) -> int:
        """Retry delay for the client: the present queue takes about as long as this request has waited."""
        return min(
            self.settings.retry_after_most_us, max(int(self.tightest_aim), self.now - request.arrived_at)
        )

    def _refuse_or_fail(self, request: _Request) -> None:
        """Give the request its final answer, and remember its deadline and aim for a retry by the client."""
        if not request.finished:
            refusal = api.Refuse(
                request.id,
                self._retry_after_us(request),
                request.waited_for_tokens and not request.attempts,
            )
            self.actions.append(refusal if self._may_refuse(request) else api.Fail(request.id))
            if request.retry_key[1]:
                self.expected_retries.setdefault(request.retry_key, []).append(
                    (request.deadline_at, request.aim_at)
                )
                self.retry_expiries.append(
                    (
                        min(request.deadline_at, self.now + request.class_settings.deadline_us),
                        request.retry_key,
                    )
                )
            self._finish(request)

    def _expire(self, request: _Request) -> None:
        """Answer a request in time that still waits, for example for a dead node or behind its key."""
        if not request.finished and not request.streaming:
            self._cancel(request)
            self._refuse_or_fail(request)

    def _expire_unsent(self, request: _Request) -> None:
        """Refuse a request that has not been sent within its aim.

        It would rarely be sent at all, and holds a connection that other clients need. Only a head whose
        tokens are about to suffice is kept until then, if its node could take it now.
        """
        if request.finished or request.in_flight or request.reached or self.now < request.hold_until:
            return
        wait_us = self._token_wait_us(request) if self._head(request.lane) is request else 0.0
        if 0 < wait_us <= self.tightest_aim and self._idle_node(request.lane.shard, request) is not None:
            self._schedule(self.now + wait_us + self.margin_us, lambda: self._expire_unsent(request), request)
        else:
            self._refuse_or_fail(request)

    def _cancel(self, request: _Request) -> None:
        if self.settings.may_cancel:
            self.actions.extend(
                api.Cancel(request.id, number)
                for number, attempt in enumerate(request.attempts)
                if attempt is not None
            )

    def _finish(self, request: _Request) -> None:
        """Mark the request as finished; it occupies its key until the outcome of every attempt is known."""
        self._uncount_queued(request)
        request.finished, request.queued = True, False
        if request.in_flight:
            return
        if request.spend_pending:
            self._return_tokens(request)
        self.requests.pop(request.id, None)
        if not request.class_settings.ordered or request.key not in self.key_queues:
            return
        key_queue = self.key_queues[request.key]
        while key_queue and key_queue[0].finished and not key_queue[0].in_flight:
            key_queue.popleft()
        if not key_queue:
            del self.key_queues[request.key]
            if self.key_rests.get(request.key, 0) > self.now:
                self._schedule(self.key_rests[request.key] + 1, lambda: self._start_next(request.key))
        elif not key_queue[0].finished:
            self._start_next(request.key)

    def _start_next(self, key: str) -> None:
        """Enqueue the first request of an ordered key once the key's rest period has passed."""
        rest_until = self.key_rests.get(key, 0)
        if rest_until > self.now:
            self._schedule(rest_until + 1, lambda: self._start_next(key))
            return
        self.key_rests.pop(key, None)
        key_queue = self.key_queues.get(key)
        if key_queue and not key_queue[0].finished:
            self._enqueue(key_queue[0])
