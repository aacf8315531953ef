"""Where lists are pushed, what the agent has counts as told from the first moment of a process on."""

from __future__ import annotations

import itertools
import random
import time
import unittest
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from tests.pushed import Agent, Call, Client, Gateway, Node, Said, ask_on, listing

GRACE_S = 0.3  # the settings' 250 ms and the protocol's slack of 50 ms
TOLD_S = 6.0  # a change counts as told so long after discovery had it and could be reached


class Start(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node("s-1", 1)
        self.addCleanup(self.node.close)

    def agent(self, delay_s: float, status: str) -> Agent:
        """Knows from the first moment on that the node drains or is gone; answers after `delay_s`."""

        def script(_: Agent, call: Call) -> Said:
            entries = [self.node.entry(status)] if call.index == 1 else []
            if call.index is None and status != "removed":
                entries = [self.node.entry(status)]
            changed = listing(2, entries, whole=call.index is None)
            return Said(changed, call.wait_ms / 1000 if call.index == 2 else delay_s)

        agent = Agent(script)
        self.addCleanup(agent.server_close)
        self.addCleanup(agent.shutdown)
        return agent

    def test_nothing_is_sent_by_the_list_of_the_start_once_the_grace_is_over(self) -> None:
        """The incident: a start that is held up uses up the grace, and the client asks at once."""
        for status in ("draining", "removed"):
            for delay_s in (0.0, 0.05, 0.1):
                with self.subTest(status=status, delay_s=delay_s):
                    self.node.times.clear()
                    agent = self.agent(delay_s, status)
                    with Gateway(agent, listing(1, [self.node.entry()]), held_s=0.4) as gateway:
                        answers = ask_on(gateway, time.monotonic() + 1.0)
                        late = [at for at in self.node.times if at > gateway.started_at + GRACE_S]
                    self.assertEqual(len(late), 0, f"sent {len(late)} times by the old list")
                    self.assertTrue(all(a.line.startswith(b"-BUSY") for a in answers), answers[:3])

    def test_while_the_agent_is_silent_the_list_of_the_start_serves_after_a_while(self) -> None:
        agent = Agent(lambda *_: Said(None))
        self.addCleanup(agent.server_close)
        self.addCleanup(agent.shutdown)
        with Gateway(agent, listing(1, [self.node.entry()])) as gateway, gateway.connect() as sock:
            began = time.monotonic()
            until = began + 3.0
            client = Client(sock)
            while not (answer := client.ask()).line.startswith(b"$"):
                self.assertLess(time.monotonic(), until, "nothing served while discovery is down")
            self.assertLess(answer.at - began, 1.0)


def steady(delay_s: float) -> Iterator[float]:
    return itertools.repeat(delay_s)


def growing() -> Iterator[float]:
    return (min(2.0, 0.05 * 1.5**n) for n in itertools.count())


def at_random(seed: int) -> Iterator[float]:
    rng = random.Random(seed)
    return (rng.uniform(0.05, 2.0) for _ in itertools.count())


SLOW: dict[str, Callable[[], Iterator[float]]] = {
    **{f"steady {s} s": lambda s=s: steady(s) for s in (0.05, 0.15, 0.3, 0.6, 1.0, 2.0)},  # type: ignore[misc]
    "growing": growing,
    "at random": lambda: at_random(3),
}


class SlowAgent(unittest.TestCase):
    """Discovery that is slow or crowded: each answer takes a while, but it comes."""

    def sends_too_late(self, delays: Iterator[float]) -> tuple[int, int]:
        """How many sends came before a drain at 2 s, and how many past its time."""
        node = Node("s-1", 1)
        began = time.monotonic()
        drains_at = began + 2.0

        def script(_: Agent, call: Call) -> Said:
            version = 2 if time.monotonic() > drains_at else 1
            if call.index == version and call.wait_ms:
                time.sleep(max(0.0, min(call.wait_ms / 1000, drains_at - time.monotonic())))
                version = 2 if time.monotonic() > drains_at else 1
            entries = [node.entry("draining" if version == 2 else "up")] if call.index != version else []
            return Said(listing(version, entries, whole=call.index is None), next(delays))

        agent = Agent(script)
        try:
            with Gateway(agent, listing(1, [node.entry()])) as gateway:
                ask_on(gateway, drains_at + TOLD_S + GRACE_S + 0.5, every_s=0.01)
        finally:
            agent.shutdown()
            agent.server_close()
            node.close()
        before = sum(at < drains_at for at in node.times)
        return before, sum(at > drains_at + TOLD_S + GRACE_S for at in node.times)

    def test_an_agent_that_answers_late_is_heard(self) -> None:
        with ThreadPoolExecutor(len(SLOW)) as pool:
            runs = {name: pool.submit(self.sends_too_late, delays()) for name, delays in SLOW.items()}
        for name, run in runs.items():
            with self.subTest(name):
                before, late = run.result()
                self.assertGreater(before, 0, "never served")
                self.assertEqual(late, 0)


class OtherHistory(unittest.TestCase):
    """A copy of discovery took over behind the same address, and numbers its lists from elsewhere."""

    def setUp(self) -> None:
        self.node = Node("s-1", 1)
        self.addCleanup(self.node.close)

    def test_a_list_in_which_a_node_drains_is_taken_whatever_its_number(self) -> None:
        """It was not, for good, and discovery was asked thousands of times a second."""
        for index, whole in ((5, True), (5, False), (1000, True), (1000, False), (9000, True)):
            with self.subTest(index=index, whole=whole):
                self.node.times.clear()
                takes_over_at = time.monotonic() + 1.5
                drained = [self.node.entry("draining")]

                def script(_: Agent, call: Call, at: float = takes_over_at, index: int = index,
                           whole: bool = whole, drained: list[Any] = drained) -> Said:  # fmt: skip
                    now = time.monotonic()
                    if now < at:
                        if call.index == 1000:
                            time.sleep(min(call.wait_ms / 1000, max(0.0, at - now)))
                        return Said(listing(1000, [] if call.index == 1000 else [self.node.entry()],
                                            whole=call.index != 1000))  # fmt: skip
                    if call.index == index and now > at + 0.2:
                        return Said(listing(index, [], whole=False), call.wait_ms / 1000)
                    return Said(listing(index, drained, whole or call.index is None))

                agent = Agent(script)
                with Gateway(agent, listing(1000, [self.node.entry()])) as gateway:
                    ask_on(gateway, takes_over_at + 1.5, every_s=0.01)
                agent.shutdown()
                agent.server_close()
                self.assertGreater(len(self.node.times), 0, "never served")
                late = [at for at in self.node.times if at > takes_over_at + GRACE_S]
                self.assertEqual(len(late), 0)
                self.assertLess(len(agent.calls), 40)


if __name__ == "__main__":
    unittest.main()
