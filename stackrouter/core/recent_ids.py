"""The ids of requests that may have run and must not run again.

Each request has an id of its own. A client that leaves and sends its request again with the same id must not
have it run twice, if its class may not simply be repeated. An id is kept for `KEEP_US` beyond the time in
which the request could still run.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final, Protocol

MAX_IDS: Final = 8192  # above this the oldest id is forgotten
KEEP_US: Final = 10_000_000  # after the request's deadline and the window in which it may be repeated


class IdClaims(Protocol):
    """Claims on the ids of requests. Times are microseconds of the machine's monotonic clock."""

    def claim(self, request_id: str, until_us: int, now_us: int) -> bool:
        """Claim the id until `until_us`; False if it is claimed already."""

    def release(self, request_id: str, now_us: int) -> None:
        """Give up a claim: the request has certainly not run."""


class RecentIds:
    """The claims of one process, at most `max_ids`. `forgotten`: claims dropped before their time."""

    def __init__(self, max_ids: int = MAX_IDS) -> None:
        self._max_ids = max_ids
        self._until: OrderedDict[str, int] = OrderedDict()  # oldest first
        self.forgotten = 0

    def __len__(self) -> int:
        return len(self._until)

    def claim(self, request_id: str, until_us: int, now_us: int) -> bool:
        """See `IdClaims`."""
        if self.claimed(request_id, now_us):
            return False
        self._until.pop(request_id, None)
        self._drop_oldest(now_us)
        self._until[request_id] = until_us
        return True

    def claimed(self, request_id: str, now_us: int) -> bool:
        """Whether the id is claimed now."""
        return self._until.get(request_id, 0) > now_us

    def release(self, request_id: str, now_us: int) -> None:
        """See `IdClaims`."""
        self._until.pop(request_id, None)

    def _drop_oldest(self, now_us: int) -> None:
        while self._until:
            oldest_id, until_us = next(iter(self._until.items()))
            if until_us > now_us:
                if len(self._until) < self._max_ids:
                    return
                self.forgotten += 1
            del self._until[oldest_id]
