"""State of one member, shared by the modules of the protocol. Does no I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from quillroad.membership.gossip_queue import GossipQueue
from quillroad.membership.local_health import HealthState, LocalHealth
from quillroad.membership.member_table import MemberState, MemberStatus, MemberTable
from quillroad.membership.roster import Roster
from quillroad.membership.sampling import sample
from quillroad.membership.suspicion import Suspicion
from quillroad.membership.timing import Timing
from quillroad.membership.view import ViewBuilder
from quillroad.membership.wire import DropReason, Update

WITNESSES = 2  # members that have to report the same, since a single one may report falsely
MASS_FAILURE_SUSPECTS = 3  # concurrent suspects that datagram loss does not explain
LOSSY_NETWORK = 0.25  # fraction of probes repeated from which one lost datagram proves nothing
RECENT_PERIODS = 2  # a member heard within this time counts as reachable


class LocalState:
    """State of one run of a member, from its start to its end.

    `draw` returns a random number in [0, 1); `run_id` is 32 random bits, new with each start.
    """

    def __init__(
        self, roster: Roster, timing: Timing, now: float, draw: Callable[[], float], run_id: int
    ) -> None:
        self.roster = roster
        self.timing = timing
        self.draw = draw
        self.run_id = run_id
        self.number = roster.number
        self.incarnation = 1
        self.has_left = False
        self.started_at = now
        self.table = MemberTable(len(roster))
        self.view = ViewBuilder(roster.number, len(roster), now)
        self.health = LocalHealth(
            timing.late_timer_s,
            timing.isolation_s,
            timing.recovery_s,
            self.witnesses_needed,
            timing.lifeguard,
        )
        self.suspicions: dict[int, Suspicion] = {}
        self.gossip_queue = GossipQueue()
        self.last_heard: dict[int, float] = {}
        self.last_incarnation: dict[int, int] = {}  # latest one in a datagram of each member
        self.dropped: Counter[DropReason] = Counter()

    @property
    def witnesses_needed(self) -> int:
        """The number of other members that have to report the same before it is believed."""
        return min(WITNESSES, len(self.roster) - 1)

    @property
    def own_status(self) -> MemberStatus:
        """This member's status until it leaves."""
        return MemberStatus(self.incarnation, MemberState.ALIVE)

    @property
    def cluster_size(self) -> int:
        """The number of present members, including this one."""
        return len(self.view.present()) + 1

    @property
    def is_mass_failure(self) -> bool:
        """Whether so many members are suspected that full probes would exhaust the send budget.

        False on a lossy network: there direct-only probes would add suspects, and these would add
        probes.
        """
        return len(self.suspicions) >= MASS_FAILURE_SUSPECTS and self.health.loss < LOSSY_NETWORK

    def is_fit_to_suspect(self, now: float) -> bool:
        """Whether this member is healthy enough to suspect others."""
        return self.health.state(now) is HealthState.HEALTHY

    def review_health(self, now: float) -> None:
        """Update this member's own health in the view."""
        self.view.set_self_state(self.health.state(now), self.incarnation, now)

    def recent_answer(self, now: float) -> bool:
        """Whether a probe was answered recently; if not, this member may just have been cut off."""
        return self.health.answered_since(now - RECENT_PERIODS * self.timing.period_s)

    def sample(self, max_count: int, members: Iterable[int]) -> list[int]:
        """Return up to `max_count` of these members, at random."""
        return sample(self.draw, max_count, members)

    def recently_heard(self, numbers: list[int], now: float) -> list[int]:
        """Return the recently heard of `numbers`, or all if no more than `gossip_fanout` were."""
        since = now - RECENT_PERIODS * self.timing.period_s
        heard = [n for n in numbers if self.last_heard.get(n, since) > since]
        return heard if len(heard) > self.timing.gossip_fanout else numbers

    def unsuspected(self) -> list[int]:
        """Return the present members that are not suspected."""
        return [n for n in self.view.present() if n not in self.suspicions]

    def update_of(self, number: int) -> Update:
        """Return the status of a member as an update for gossip."""
        status = self.table[number]
        return Update(number, status.incarnation, int(status.state), status.suspector_slots)
