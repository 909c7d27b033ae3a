"""What one member knows: the data that the parts of the protocol share. Pure."""

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

WITNESSES = 2  # members that have to agree before one is believed: a single one may lie
MASS_FAILURE_SUSPECTS = 3  # suspects at once that are no accident of the network
LOSSY_NETWORK = 0.25  # part of probes repeated, from where on one lost datagram is no evidence
RECENT_PERIODS = 2  # a member heard within that many periods is surely reachable


class LocalState:
    """State of one run of a member.

    `draw` returns a random number from 0 to below 1; `run_id` is 32 random bits, new with each
    start.
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
        self.last_incarnation: dict[int, int] = {}  # that each member last spoke with
        self.dropped: Counter[DropReason] = Counter()

    @property
    def witnesses_needed(self) -> int:
        """How many other members have to say the same to be believed."""
        return min(WITNESSES, len(self.roster) - 1)

    @property
    def own_status(self) -> MemberStatus:
        """This member's status while it takes part."""
        return MemberStatus(self.incarnation, MemberState.ALIVE)

    @property
    def cluster_size(self) -> int:
        """Members that count as present, this one among them."""
        return len(self.view.present()) + 1

    @property
    def is_mass_failure(self) -> bool:
        """Whether so many are suspected that full probes of each would exhaust the send budget.

        Not on a lossy network: there direct-only probes would make more suspects, and those more
        probes.
        """
        return len(self.suspicions) >= MASS_FAILURE_SUSPECTS and self.health.loss < LOSSY_NETWORK

    def can_judge(self, now: float) -> bool:
        """Whether this member is fit to say that another is silent."""
        return self.health.state(now) is HealthState.HEALTHY

    def review_health(self, now: float) -> None:
        """Bring this member's own state in the view up to date."""
        self.view.set_self_state(self.health.state(now), self.incarnation, now)

    def recent_answer(self, now: float) -> bool:
        """Whether a probe was answered lately: else this member may have been cut off just now."""
        return self.health.answered_since(now - RECENT_PERIODS * self.timing.period_s)

    def sample(self, most: int, members: Iterable[int]) -> list[int]:
        """Return `most` of these at most, at random."""
        return sample(self.draw, most, members)

    def recently_heard(self, numbers: list[int], now: float) -> list[int]:
        """Return those of these that were heard lately; all of them where those are few."""
        since = now - RECENT_PERIODS * self.timing.period_s
        heard = [n for n in numbers if self.last_heard.get(n, since) > since]
        return heard if len(heard) > self.timing.gossip_fanout else numbers

    def unsuspected(self) -> list[int]:
        """Return the present members that are not suspected."""
        return [n for n in self.view.present() if n not in self.suspicions]

    def update_of(self, number: int) -> Update:
        """Return what is known of a member, as gossip carries it."""
        status = self.table[number]
        return Update(number, status.incarnation, int(status.state), status.suspector_slots)
