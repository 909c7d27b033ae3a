"""Who is there, as one gateway sees it: an immutable value with a version. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from immutables import Map

from quillroad.membership.claims import Standing
from quillroad.membership.condition import Self


class Seen(NamedTuple):
    """One member. `since` is when it came to stand so here, in seconds of this process's clock, and `how` by
    what: "heard" from itself, "told" by `by`, "silent" to this gateway's own probes, or "timer", the end of a
    suspicion."""

    standing: Standing
    incarnation: int
    since: float
    how: str
    by: int


class View(NamedTuple):
    """`members` hold all but this gateway itself; `self_state` is what it thinks of itself. `changed` is when
    any of this last changed, or differed from what others hold."""

    version: int
    number: int
    incarnation: int
    self_state: Self
    changed: float
    members: Map[int, Seen]

    def count(self, *standings: Standing) -> int:
        return sum(seen.standing in standings for seen in self.members.values())

    @property
    def there(self) -> int:
        """Gateways that count as being there, itself among them: a suspect is there until that is certain."""
        return 1 + self.count(Standing.ALIVE, Standing.SUSPECT)

    @property
    def certain(self) -> bool:
        """Whether nothing is in doubt: no member suspect or never heard of, and the gateway itself sound."""
        return self.self_state is Self.SOUND and not self.count(Standing.SUSPECT, Standing.UNKNOWN)

    def settled(self, now: float, hold_s: float) -> bool:
        """Whether nothing has been in doubt or changed for so long."""
        return self.certain and now - self.changed >= hold_s

    def rank(self) -> int:
        """Which of those that are there this gateway is, from 0."""
        there = (Standing.ALIVE, Standing.SUSPECT)
        return sum(n < self.number and seen.standing in there for n, seen in self.members.items())


class Change(NamedTuple):
    """One thing that changed in a view. `number` is the member's, the gateway's own where `what` is a state
    of its own; `cause` is one of the words that `Seen.how` has, or what this process saw of itself."""

    at: float
    number: int
    what: str
    incarnation: int
    cause: str
    by: int
