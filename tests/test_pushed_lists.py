"""Where lists are pushed, what the agent has counts as known from the first moment of a process."""

from __future__ import annotations

import itertools
import random
import time
import unittest
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from tests.pushed import Agent, AgentAnswer, Call, Client, Gateway, Node, listing, send_requests

GRACE_S = 0.3  # the settings' 250 ms and the protocol's slack of 50 ms
KNOWN_AFTER_S = 6.0  # a change counts as known this long after discovery had it and could be reached


class StartupList(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node("s-1", 1)
        self.addCleanup(self.node.close)

    def agent(self, delay_s: float, status: str) -> Agent:
        """An agent that knows from the start that the node is `status`, and answers after `delay_s`."""

        def script(_: Agent, call: Call) -> AgentAnswer:
            entries = [self.node.entry(status)] if call.index == 1 else []
            if call.index is None and status != "removed":
                entries = [self.node.entry(status)]
            changed = listing(2, entries, whole=call.index is None)
            return AgentAnswer(changed, call.wait_ms / 1000 if call.index == 2 else delay_s)

        agent = Agent(script)
        self.addCleanup(agent.server_close)
        self.addCleanup(agent.shutdown)
        return agent

    def test_nothing_is_sent_from_the_startup_list_after_the_drain_grace(self) -> None:
        """Guards against an incident: a delayed start used up the drain grace, and a client sent requests at
        once."""
        for status in ("draining", "removed"):
            for delay_s in (0.0, 0.05, 0.1):
                with self.subTest(status=status, delay_s=delay_s):
                    self.node.times.clear()
                    agent = self.agent(delay_s, status)
                    with Gateway(agent, listing(1, [self.node.entry()]), stopped_s=0.4) as gateway:
                        answers = send_requests(gateway, time.monotonic() + 1.0)
                        late = [at for at in self.node.times if at > gateway.started_at + GRACE_S]
                    self.assertEqual(len(late), 0, f"sent {len(late)} times from the old list")
                    self.assertTrue(all(a.line.startswith(b"-BUSY") for a in answers), answers[:3])

    def test_startup_list_is_served_while_the_agent_is_silent(self) -> None:
        agent = Agent(lambda *_: AgentAnswer(None))
        self.addCleanup(agent.server_close)
        self.addCleanup(agent.shutdown)
        with Gateway(agent, listing(1, [self.node.entry()])) as gateway, gateway.connect() as sock:
            began = time.monotonic()
            until = began + 3.0
            client = Client(sock)
            while not (answer := client.ask()).line.startswith(b"$"):
                self.assertLess(time.monotonic(), until, "nothing served while discovery is down")
            self.assertLess(answer.at - began, 1.0)


def steady_delay(delay_s: float) -> Iterator[float]:
    return itertools.repeat(delay_s)


def growing_delay() -> Iterator[float]:
    return (min(2.0, 0.05 * 1.5**n) for n in itertools.count())


def random_delay(seed: int) -> Iterator[float]:
    rng = random.Random(seed)
    return (rng.uniform(0.05, 2.0) for _ in itertools.count())


SLOW_AGENTS: dict[str, Callable[[], Iterator[float]]] = {
    **{f"steady {s} s": lambda s=s: steady_delay(s) for s in (0.05, 0.15, 0.3, 0.6, 1.0, 2.0)},  # type: ignore[misc]
    "growing": growing_delay,
    "at random": lambda: random_delay(3),
}


class SlowAgent(unittest.TestCase):
    """Discovery that is slow or overloaded: each answer takes a while, but it arrives."""

    def count_sends(self, delays: Iterator[float]) -> tuple[int, int]:
        """The number of sends before a drain that begins at 2 s, and of sends after its time limit."""
        node = Node("s-1", 1)
        began = time.monotonic()
        drains_at = began + 2.0

        def script(_: Agent, call: Call) -> AgentAnswer:
            version = 2 if time.monotonic() > drains_at else 1
            if call.index == version and call.wait_ms:
                time.sleep(max(0.0, min(call.wait_ms / 1000, drains_at - time.monotonic())))
                version = 2 if time.monotonic() > drains_at else 1
            entries = [node.entry("draining" if version == 2 else "up")] if call.index != version else []
            return AgentAnswer(listing(version, entries, whole=call.index is None), next(delays))

        agent = Agent(script)
        try:
            with Gateway(agent, listing(1, [node.entry()])) as gateway:
                send_requests(gateway, drains_at + KNOWN_AFTER_S + GRACE_S + 0.5, every_s=0.01)
        finally:
            agent.shutdown()
            agent.server_close()
            node.close()
        before = sum(at < drains_at for at in node.times)
        return before, sum(at > drains_at + KNOWN_AFTER_S + GRACE_S for at in node.times)

    def test_late_answers_of_an_agent_are_applied(self) -> None:
        with ThreadPoolExecutor(len(SLOW_AGENTS)) as pool:
            runs = {name: pool.submit(self.count_sends, delays()) for name, delays in SLOW_AGENTS.items()}
        for name, run in runs.items():
            with self.subTest(name):
                before, late = run.result()
                self.assertGreater(before, 0, "never served")
                self.assertEqual(late, 0)


class OtherHistory(unittest.TestCase):
    """Another replica of discovery took over behind the same address, with unrelated list versions."""

    def setUp(self) -> None:
        self.node = Node("s-1", 1)
        self.addCleanup(self.node.close)

    def test_list_with_a_draining_node_is_applied_whatever_its_version(self) -> None:
        """Guards against never applying such a list and calling discovery thousands of times a second."""
        for index, whole in ((5, True), (5, False), (1000, True), (1000, False), (9000, True)):
            with self.subTest(index=index, whole=whole):
                self.node.times.clear()
                takes_over_at = time.monotonic() + 1.5
                draining = [self.node.entry("draining")]

                def script(_: Agent, call: Call, at: float = takes_over_at, index: int = index,
                           whole: bool = whole, draining: list[Any] = draining) -> AgentAnswer:  # fmt: skip
                    now = time.monotonic()
                    if now < at:
                        if call.index == 1000:
                            time.sleep(min(call.wait_ms / 1000, max(0.0, at - now)))
                        return AgentAnswer(listing(1000, [] if call.index == 1000 else [self.node.entry()],
                                            whole=call.index != 1000))  # fmt: skip
                    if call.index == index and now > at + 0.2:
                        return AgentAnswer(listing(index, [], whole=False), call.wait_ms / 1000)
                    return AgentAnswer(listing(index, draining, whole or call.index is None))

                agent = Agent(script)
                with Gateway(agent, listing(1000, [self.node.entry()])) as gateway:
                    send_requests(gateway, takes_over_at + 1.5, every_s=0.01)
                agent.shutdown()
                agent.server_close()
                self.assertGreater(len(self.node.times), 0, "never served")
                late = [at for at in self.node.times if at > takes_over_at + GRACE_S]
                self.assertEqual(len(late), 0)
                self.assertLess(len(agent.calls), 40)


if __name__ == "__main__":
    unittest.main()
