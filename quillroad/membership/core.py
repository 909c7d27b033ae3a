"""One gateway's part in the fleet's view: SWIM (Das 2002) with Lifeguard (Dadgar 2018). No I/O.

Datagrams and the time go in; datagrams, changes and the time of the next step come out. Each period one
member is probed: a PING, then through `helpers` others. One that stays silent is suspected, by rumour, and
counts as gone once the suspicion has not been refuted in its time. What changes is passed on with whatever is
sent, and by a few datagrams of its own while it is new; digests of the whole table find what that missed.

What others say is a claim, and goes into the table as it is. What this gateway *holds* of a member follows
from the claim with a delay: one that was there and is said to be gone is suspect here until it had the time
to refute that. So a heal, a liar or a member that slept cannot make the sound ones gone even for a moment.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from immutables import Map

from quillroad.membership.budget import Budget
from quillroad.membership.claims import (
    CHUNK,
    MOST_INCARNATION,
    Claim,
    Claims,
    Standing,
    credible,
    slot,
    unpacked,
)
from quillroad.membership.condition import TWIN_S, Condition, Self
from quillroad.membership.news import Queue
from quillroad.membership.roster import Address, Roster
from quillroad.membership.suspicion import Suspicion, shortest_s
from quillroad.membership.sweep import PART as SWEEPING
from quillroad.membership.sweep import Sweep
from quillroad.membership.timing import Timing
from quillroad.membership.view import Change, Seen, View
from quillroad.membership.wire import (
    MOST_BYTES,
    MOST_NEWS,
    MOST_TOLD,
    VERSION,
    Datagram,
    Head,
    Kind,
    Newer,
    News,
    Unreadable,
    decode,
    encode,
)

BULK = 16  # news from which on a part of the table is shorter
LATER = 0.8  # part of the budget for what can wait: with 0.6 seven in ten of 200 took 11.6 s, with 0.8 8.4
MOST_SUMS = 40  # digests of parts in one datagram: 5 bytes each, and a header
EVERYONE = -1  # in the outbox: the address at which all are reached
ALOUD_S, ALOUD_FLEET_S = (
    0.1,
    0.002,
)  # between two datagrams to all, and of the whole fleet: 500 a second
HAIL_S = 1.0  # between two tables of the whole fleet for those that are gone
MOST_PROBES = 8  # on their way at once
LIGHTS = 3  # questions of a light probe: with 2 one in 100 at 5% loss was wrong, and heals took 8 s
LIGHT_LOSSY = (
    0.35  # lately, from where on a light probe says nothing: at 30% loss one in eight is wrong
)
MOST_LIGHT = 40  # light probes on their way at once
TURNS, LATE_S = 4, 2.0  # changes of a life, over longer than a datagram is late: two processes
WITNESSES = 2  # of these: one may lie
HEARSAY, MISLED_S = 3.0, 10.0  # times the shortest wait, for so long after word that was wrong
HASTE = 2.0  # times the shortest wait is the longest where many are suspected and others answer
CERTAIN = (
    0.5  # part of the shortest wait that is left for one suspected before, and ended by another
)
LOSSY = 0.25  # of answered probes: 0.1 at 5% loss, 0.5 at 30%
MANY = 3  # suspects at once that are no accident of the network
PROBERS = 2  # gateways that probe a suspect in each `gossip_s`
MOST_HELP = 64  # questions of others on their way at once
MOST_CHANGES = 1024  # not fetched yet
REFUTE_S = 0.1  # between two refutations: twins would answer each other without end


class _Probe(NamedTuple):
    """A PING, and one more every `timing.again_s` until it is answered or `ends`."""

    number: int
    again: float
    help: float  # when others are asked
    ends: float
    doubted: bool  # of a suspect: its silence says nothing of this gateway
    light: bool = False  # asked three times in a short while, with no help and no news
    repeated: bool = False
    nacked: bool = False  # a helper was heard meanwhile

    @property
    def due(self) -> float:
        return min(self.again, self.help, self.ends)


class _Lives(NamedTuple):
    """What was heard of a member's processes: the last one's life, and how often that changed since when."""

    life: int
    began: float
    turns: int


class _Help(NamedTuple):
    """A PING sent for another member."""

    asker: int
    sequence: int  # the asker's
    about: int
    nack: float
    ends: float


class Core:
    """One member. `draw` gives a random number from 0 to below 1; `life` is 32 random bits, new with each
    start. `outbox` and `changes` are for the caller to empty. All times are seconds of one clock that never
    steps back."""

    def __init__(
        self, roster: Roster, timing: Timing, now: float, draw: Callable[[], float], life: int
    ) -> None:
        self.roster, self.timing, self._draw, self._life = roster, timing, draw, life
        self.number, self.incarnation = roster.number, 1
        self.outbox: list[tuple[int, bytes]] = []
        self.changes: list[Change] = []
        self.dropped: Counter[str] = Counter()  # datagrams that were not taken, by reason
        self.unsent = 0  # datagrams beyond the budget
        self.claims = Claims(len(roster))
        self._members: Map[int, Seen] = Map(
            (n, Seen(Standing.UNKNOWN, 0, now, "roster", self.number))
            for n in range(len(roster))
            if n != self.number
        )
        self._version, self._changed, self._self = 0, now, Self.ALONE
        self._view: View | None = None
        self._present: list[int] | None = None  # the members that are there, until one changes
        self._condition = Condition(
            timing.late_s,
            timing.alone_s,
            timing.steady_s,
            min(WITNESSES, len(roster) - 1),
            timing.lifeguard,
        )
        self._budget = Budget(timing.most_bytes, timing.most_datagrams)
        self._inward: dict[int, Budget] = {}
        self._queue = Queue()
        self._heard: dict[int, float] = {}
        self._lives: dict[int, _Lives] = {}
        self._heads: dict[int, int] = {}  # the incarnation that each last spoke with
        self._suspicions: dict[int, Suspicion] = {}
        self._order: list[int] = []
        self._probes: dict[int, _Probe] = {}  # by sequence
        self._helps: dict[int, _Help] = {}
        self._sequence = int(draw() * 2**32)
        self._left, self._began = False, now
        self._refuted = self._misled = float("-inf")
        self._leapers: set[int] = set()  # who said something incredible of this gateway
        self._next_probe = now + draw() * timing.period_s
        self._next_gossip = now + draw() * timing.gossip_s
        self._next_gone = now
        self._next_sync = now
        self._next_aloud = now
        self._aloud: set[int] = set()  # of whom this gateway has something to say to all
        self._sweep = Sweep()
        self._armed = now
        self.claims.merge(self.number, Claim(1, Standing.ALIVE))
        self._own_news(self.number)

    # What the caller asks.

    @property
    def view(self) -> View:
        if self._view is None:
            self._view = View(
                self._version,
                self.number,
                self.incarnation,
                self._self,
                self._changed,
                self._members,
            )
        return self._view

    def heard(self, number: int) -> float | None:
        """When a member was last heard itself; None: never."""
        return self._heard.get(number)

    @property
    def held(self) -> int:
        """Entries of state beyond one for each member: bounded, and none once nothing is going on."""
        return len(self._suspicions) + len(self._helps) + len(self._queue) + len(self._probes)

    def arm(self, now: float) -> float:
        """When `tick` is due next; to be asked for after each call that may change it. A tick that comes
        later than that is taken for a sign of a slow process."""
        if self._left:  # nothing begins any more: what was due would be so at once, for ever
            self._armed = now + self.timing.period_s
            return self._armed
        times = [self._next_probe, self._next_gone]
        if len(self._queue) or self._suspicions:
            times.append(self._next_gossip)
        if self._sweep.lasts(now):
            times.append(self._sweep.next)
        if self._aloud:
            times.append(self._next_aloud)
        times += (probe.due for probe in self._probes.values())
        times += (min(h.nack, h.ends) for h in self._helps.values())
        times += (s.ends for s in self._suspicions.values())
        self._armed = max(min(times), now)
        return self._armed

    def tick(self, now: float) -> None:
        """Do what is due."""
        late_s = now - self._armed
        if late_s > 0 and self._condition.ticked(late_s, now):
            self._woke(now)
        self._judge_self(now)
        self._step_helps(now)
        self._step_probes(now)
        self._step_suspicions(now)
        if self._left:
            return
        if self._next_probe <= now:
            period_s = self.timing.period_s * self._condition.stretch
            self._next_probe = now + period_s * (0.9 + 0.2 * self._draw())
            self._begin_probe(self._next_number(now), now)
        if self._next_gone <= now:
            self._ask_gone(now)
        if self._next_gossip <= now and (len(self._queue) or self._suspicions):
            self._next_gossip = now + self.timing.gossip_s
            if self._suspicions:
                self._probe_more(now)
            if len(self._queue):
                self._gossip(now)
        if self._aloud and self._next_aloud <= now:
            self._say_aloud(now)
        if self._sweep.due(now):
            self._ask_lightly(now)
        self._judge_self(now)

    def receive(self, source: Address, data: bytes, now: float) -> None:
        """Take a datagram, whatever it holds."""
        number = self.roster.number_of(source)
        if number is None:
            self.dropped["stranger"] += 1
            return
        if number == self.number:
            self.dropped["own address"] += 1
            return
        inward = self._inward.get(number)
        if inward is None:
            inward = self._inward[number] = Budget(
                self.timing.most_bytes, self.timing.most_datagrams
            )
        if not inward.take(len(data), now):
            self.dropped["flood"] += 1
            return
        try:
            datagram = decode(data)
        except Unreadable as error:
            self.dropped[str(error)] += 1
            return
        except Newer as newer:
            self.dropped["version"] += 1
            if newer.head.number == number:
                self._hear(newer.head, now)
            return
        if datagram.number != number:
            self.dropped["number"] += 1
            return
        self._hear(datagram, now)
        for news in datagram.news:
            self._told(news, number, now)
        self._answer(datagram, now)
        self._compare(datagram, now)
        self._judge_self(now)

    def leave(self, now: float) -> None:
        """Say that this gateway goes, to as many as the budget allows; nothing is probed from now on."""
        self._left = True
        self.claims.merge(self.number, Claim(self.incarnation, Standing.LEFT))
        self._own_news(self.number)
        self._probes.clear()
        if self._aloud:
            self._say_aloud(now)
        for number in self._some(len(self.roster), self._there()):
            if not self._send(number, Kind.GOSSIP, now, part=1.0):
                break

    def follow(self, roster: Roster, now: float) -> None:
        """Another roster: more members, or other addresses. Numbers keep their meaning, and one that is no
        longer in it counts as gone without a word from anybody."""
        if roster.number != self.number:
            raise ValueError("the own number cannot change")
        old, self.roster = len(self.claims), roster
        if len(roster) > old:
            self.claims.grow(len(roster))
        for number in range(len(roster)):
            if number != self.number and number not in self._members:
                self._set(number, Seen(Standing.UNKNOWN, 0, now, "roster", self.number), now)
        for number in [n for n in self._members if n >= len(roster)]:
            self._members, self._present = self._members.delete(number), None
            for kept in (self._suspicions, self._heard, self._heads, self._lives, self._inward):
                kept.pop(number, None)
            self._queue.drop(number)
            self._aloud.discard(number)
            # Else its table would differ for ever from that of one that starts with the shorter roster.
            self.claims.forget(number)
            self._touch(now)
        self._order = [n for n in self._order if n < len(roster)]
        self._probes = {s: probe for s, probe in self._probes.items() if probe.number < len(roster)}

    # What is heard.

    def _hear(self, head: Head | Datagram, now: float) -> None:
        number = head.number
        self._condition.heard(now)
        self._heard[number], self._heads[number] = now, head.incarnation
        self._hear_life(number, head.life, now)
        held = self._suspicions.get(number)
        if held.hearsay if held is not None else self._members[number].standing is Standing.GONE:
            self._mislead(now)
        self._claim(number, Claim(head.incarnation, Standing.ALIVE), number, "heard", now)

    def _mislead(self, now: float) -> None:
        """One that counts as gone, or was said to be with no suspicion before, speaks: after a partition each
        side says so of the whole other, and so many refutations take longer. 200 members healed, 1.7 s for
        each: 7,427 times a sound one was held for gone. Where many are gone indeed nobody of them speaks."""
        if now - self._misled >= MISLED_S:
            for held in self._suspicions.values():
                if held.hearsay:
                    held.shortest_s *= HEARSAY
                    held.longest_s = held.shortest_s
        self._misled = now

    def _hear_life(self, number: int, life: int, now: float) -> None:
        """A restart changes a life once, and what comes late changes it back for a moment; two processes that
        speak under one number do so for as long as both run."""
        last = self._lives.get(number)
        if last is None or now - last.began > TWIN_S:
            self._lives[number] = _Lives(life, now, 0)
        elif last.life != life:
            turns = last.turns + 1
            self._lives[number] = _Lives(life, last.began if last.turns else now, turns)
            if turns >= TURNS and now - last.began >= LATE_S:
                if turns == TURNS:
                    self._note(
                        Change(now, number, "doubled", self._heads[number], "heard", number), now
                    )
                self._send(number, Kind.TWIN, now, part=LATER)

    def _told(self, news: News, by: int, now: float) -> None:
        if news.number >= len(self.roster):
            self.dropped["unknown member"] += 1  # in the middle of a reload one of two knows more
            return
        if news.number == self.number:
            self._of_self(news.claim(), by, now)
        else:
            self._claim(news.number, news.claim(), by, "told", now)

    def _of_self(self, claim: Claim, by: int, now: float) -> None:
        """Somebody says something of this gateway."""
        own = Claim(self.incarnation, Standing.ALIVE)
        if claim[:2] <= own[:2] or self._left:
            return
        if now - self._refuted < REFUTE_S:
            return  # it is told again
        if claim.standing is Standing.SUSPECT:
            self._condition.doubted()
        if not credible(claim.incarnation, self.incarnation):
            # A lie; or this one came so far before it started from nothing, and then several know of it.
            self.dropped["leap"] += 1
            self._leapers.add(by)
            if len(self._leapers) < min(WITNESSES, len(self.roster) - 1):
                return
        if claim.incarnation >= MOST_INCARNATION:
            self.dropped["last incarnation"] += 1
            return
        self._leapers.clear()
        self._refuted = now
        self.incarnation = claim.incarnation + 1
        self.claims.merge(self.number, Claim(self.incarnation, Standing.ALIVE))
        self._own_news(self.number)
        cause = claim.standing.name.lower()
        self._note(Change(now, self.number, "refuted", self.incarnation, cause, self.number), now)

    def _claim(self, number: int, claim: Claim, by: int, how: str, now: float) -> None:
        """A claim of another member: into the table, and on to what is held of it here."""
        if how == "told" and not credible(claim.incarnation, self.claims[number].incarnation):
            self.dropped["leap"] += 1
            return
        if not self.claims.merge(number, claim):
            return
        if how == "silent":
            self._own_news(number)
        else:
            self._queue.put(number)
        seen = self._members[number]
        standing = claim.standing
        # Of one that this gateway has not heard of yet, too: who says so may have been cut off itself.
        held_gone = seen.standing in (Standing.GONE, Standing.LEFT)
        if standing is Standing.SUSPECT or (standing is Standing.GONE and not held_gone):
            self._suspect(number, claim, by, how, now)
            return
        self._suspicions.pop(number, None)
        self._set(number, Seen(standing, claim.incarnation, now, how, by), now)

    def _suspect(self, number: int, claim: Claim, by: int, how: str, now: float) -> None:
        seen, held = self._members[number], self._suspicions.get(number)
        certain = claim.standing is Standing.GONE
        if held is None or held.incarnation != claim.incarnation:
            shortest = shortest_s(
                len(self._there()) + 1, self.timing.period_s, self.timing.suspicion_rounds
            )
            scale = self._condition.refuting  # a refutation takes as much longer
            shortest *= scale
            hearsay = certain and seen.standing is Standing.ALIVE
            if hearsay and now - self._misled < MISLED_S:
                shortest *= HEARSAY
            most = self.timing.suspicion_most if self.timing.lifeguard else 1.0
            if self._hurried and now - self._misled >= MISLED_S:
                most = min(most, HASTE)
            held = Suspicion(
                claim.incarnation,
                now,
                shortest,
                most * shortest,
                claim.slots,
                how != "silent",
                scale,
                hearsay,
            )
            self._suspicions[number] = held
            # What is said to be gone others have asked: after a partition that is half of the fleet.
            if not certain and self._hurried:
                self._sweep.begin(now)
        held.slots |= claim.slots
        if certain:  # somebody has waited already: here it is only to have its time to refute
            # Not so after a partition: what the other side suspected when it ended is certain there soon.
            if (
                not held.hearsay
                and self._condition.lossy < LOSSY
                and now - self._misled >= MISLED_S
            ):
                held.shortest_s *= CERTAIN
            held.longest_s = held.shortest_s
        if seen.standing is not Standing.SUSPECT or seen.incarnation != claim.incarnation:
            self._set(number, Seen(Standing.SUSPECT, claim.incarnation, now, how, by), now)

    def _answer(self, datagram: Datagram, now: float) -> None:
        number = datagram.number
        if datagram.kind is Kind.PING:
            self._send(number, Kind.ACK, now, sequence=datagram.sequence)
        elif datagram.kind is Kind.ASK:
            self._help(datagram, now)
        elif datagram.kind is Kind.ACK:
            self._acknowledged(datagram, now)
        elif datagram.kind is Kind.NACK:
            if datagram.sequence in self._probes:
                self._probes[datagram.sequence] = self._probes[datagram.sequence]._replace(
                    nacked=True
                )
        elif datagram.kind is Kind.TWIN:
            self._condition.doubled(number, now)
        elif datagram.kind is Kind.SUMS:
            self._tell_table(datagram, now)
        elif datagram.kind is Kind.TABLE:
            self._read_table(datagram, now)

    # Probes.

    def _there(self) -> list[int]:
        if self._present is None:
            there = (Standing.ALIVE, Standing.SUSPECT)
            self._present = [n for n, seen in self._members.items() if seen.standing in there]
        return self._present

    def _some(self, most: int, members: Iterable[int]) -> list[int]:
        """So many of these at most, at random."""
        left = list(members)
        most = min(most, len(left))
        for i in range(most):
            j = i + int(self._draw() * (len(left) - i))
            left[i], left[j] = left[j], left[i]
        return left[:most]

    def _next_number(self, now: float) -> int | None:
        if self._condition.doubtful and self.timing.lifeguard and self._draw() < 0.5:
            since = now - self.timing.alone_s
            heard = [(at, n) for n, at in self._heard.items() if at > since and n in self._members]
            if heard:
                return max(heard)[1]
        passed = {Standing.GONE, Standing.LEFT}
        if len(self._suspicions) >= MANY:
            passed.add(
                Standing.SUSPECT
            )  # probed beside the turn, and what nobody has asked yet comes first
        for _ in range(2):
            while self._order:
                number = self._order.pop()
                seen = self._members.get(number)
                if seen is not None and seen.standing not in passed:
                    return number
            self._order = self._some(len(self.roster), self._members)
        return None

    def _ping(
        self, number: int, now: float, part: float = 1.0, news: tuple[News, ...] | None = None
    ) -> bool:
        self._sequence = (self._sequence + 1) & 0xFFFFFFFF
        return self._send(number, Kind.PING, now, sequence=self._sequence, part=part, news=news)

    def _begin_probe(self, number: int | None, now: float) -> None:
        if number is not None and self._hurried:
            self._begin_light(number, now, 1.0, doubted=number in self._suspicions)
        elif number is not None:
            self._begin_full(number, now)

    def _begin_full(self, number: int, now: float) -> None:
        full = sum(not probe.light for probe in self._probes.values())
        if full >= MOST_PROBES or not self._ping(number, now):
            return  # what was not asked cannot be missed
        timing, stretch = self.timing, self._condition.stretch * self._condition.lossy_stretch
        self._probes[self._sequence] = _Probe(
            number,
            now + timing.again_s,
            now + timing.answer_s * stretch,
            now + 0.85 * timing.period_s * stretch,
            number in self._suspicions,
        )

    def _ask_lightly(self, now: float) -> None:
        """A step of a sweep. Only while others answer: one that is cut off would come back with a suspicion
        of everybody."""
        share = self._sweep.step(now)
        period_s = self.timing.period_s
        if not self._judging(now) or not self._condition.answered_since(now - 2 * period_s):
            return
        asked = {probe.number for probe in self._probes.values()}
        own = slot(self.number)
        asked |= {n for n, held in self._suspicions.items() if held.slots & own}
        since = now - period_s
        unheard = [
            n for n in self._there() if self._heard.get(n, since) <= since and n not in asked
        ]
        for number in self._some(int(share + self._draw()), unheard):
            if not self._begin_light(number, now, SWEEPING, doubted=True):
                return

    def _begin_light(self, number: int, now: float, part: float, doubted: bool) -> bool:
        """Ask one that may be gone, without help; with what is said of it, which only it can refute."""
        news = (self._news(number),) if number in self._suspicions else ()
        lights = sum(probe.light for probe in self._probes.values())
        if lights >= MOST_LIGHT or not self._ping(number, now, part, news):
            return False
        light_s = self.timing.light_s
        ends = now + LIGHTS * light_s * self._condition.stretch
        self._probes[self._sequence] = _Probe(
            number, now + light_s, ends, ends, doubted, light=True
        )
        return True

    def _probe_more(self, now: float) -> None:
        """Probe one whom others suspect: of the whole fleet a few do so, and soon, where waiting for its turn
        with enough of them would take longer than the suspicion."""
        if not self._judging(now):
            return
        own = slot(self.number)
        open_ = {n: s.slots.bit_count() for n, s in self._suspicions.items() if not s.slots & own}
        if open_ and self._draw() < PROBERS * len(open_) / len(self._there()):
            # The fewer have seen it silent, the longer it lasts until that is certain.
            fewest = min(open_.values())
            number = self._some(1, [n for n, seen in open_.items() if seen == fewest])[0]
            if all(probe.number != number for probe in self._probes.values()):
                self._begin_probe(number, now)

    def _step_probes(self, now: float) -> None:
        for sequence, probe in list(self._probes.items()):
            if probe.ends <= now:
                del self._probes[sequence]
                self._unanswered(probe, now)
                continue
            if probe.help <= now:
                probe = probe._replace(help=probe.ends)  # noqa: PLW2901
                others = [
                    n for n in self._there() if n != probe.number and n not in self._suspicions
                ]
                helpers = 1 if probe.doubted else self.timing.helpers
                for number in self._some(helpers, self._lately(others, now)):
                    self._send(number, Kind.ASK, now, sequence=sequence, about=probe.number)
            if probe.again <= now:
                again = now + (self.timing.light_s if probe.light else self.timing.again_s)
                probe = probe._replace(again=again, repeated=True)  # noqa: PLW2901
                news = None
                if probe.light:
                    news = (self._news(probe.number),) if probe.number in self._suspicions else ()
                self._send(probe.number, Kind.PING, now, sequence=sequence, news=news)
            self._probes[sequence] = probe

    @property
    def _hurried(self) -> bool:
        """Many are gone at once: a full probe of each would take the budget of ten seconds. Not so where
        datagrams get lost: there light probes made many more suspects, and those more light probes."""
        return len(self._suspicions) >= MANY and self._condition.lossy < LOSSY

    def _unanswered(self, probe: _Probe, now: float) -> None:
        if probe.light:
            self._sweep.ended(answered=False)
        if probe.light and self._condition.brisk >= LIGHT_LOSSY:
            self._begin_full(probe.number, now)
            return
        if not probe.doubted:
            self._condition.probed(
                False, now, probe.nacked or probe.light
            )  # nobody was asked for help
        self._judge_self(now)
        claim = self.claims[probe.number]
        if claim.standing in (Standing.GONE, Standing.LEFT) or not self._judging(now):
            return
        if claim.standing is Standing.UNKNOWN:
            # Never heard of here, and perhaps not started yet: no news for others.
            if now - self._began >= self.timing.join_s:
                self._set(probe.number, Seen(Standing.GONE, 0, now, "silent", self.number), now)
            return
        doubt = Claim(claim.incarnation, Standing.SUSPECT, slot(self.number))
        self._claim(probe.number, doubt, self.number, "silent", now)

    def _judging(self, now: float) -> bool:
        """Whether this gateway is fit to say that another is silent."""
        return self._condition.state(now) is Self.SOUND

    def _acknowledged(self, datagram: Datagram, now: float) -> None:
        probe = self._probes.get(datagram.sequence)
        if probe is not None and probe.number in (datagram.number, datagram.about):
            del self._probes[datagram.sequence]
            if probe.light:
                self._sweep.ended(answered=True)
            self._condition.probed(True, now, probe.repeated)
            self._heard_by_others(now)
        help_ = self._helps.get(datagram.sequence)
        if help_ is not None and help_.about == datagram.number:
            del self._helps[datagram.sequence]
            self._send(help_.asker, Kind.ACK, now, sequence=help_.sequence, about=help_.about)

    def _help(self, datagram: Datagram, now: float) -> None:
        if datagram.about >= len(self.roster) or datagram.about == self.number:
            self.dropped["unknown member"] += 1
            return
        if len(self._helps) >= MOST_HELP:
            self.dropped["busy"] += 1
            return
        self._sequence = (self._sequence + 1) & 0xFFFFFFFF
        if self._send(datagram.about, Kind.PING, now, sequence=self._sequence):
            timing = self.timing
            self._helps[self._sequence] = _Help(
                datagram.number,
                datagram.sequence,
                datagram.about,
                now + timing.answer_s / 2,
                now + 2 * timing.period_s,
            )

    def _step_helps(self, now: float) -> None:
        for sequence, help_ in list(self._helps.items()):
            if help_.ends <= now:
                del self._helps[sequence]
            elif help_.nack <= now:
                self._helps[sequence] = help_._replace(nack=help_.ends)
                self._send(help_.asker, Kind.NACK, now, sequence=help_.sequence, about=help_.about)

    def _ask_gone(self, now: float) -> None:
        """One of those that are gone, now and then, for ever: after a partition nobody else would."""
        timing = self.timing
        there = len(self._there()) + 1
        interval = min(timing.gone_most_s, max(timing.period_s, there * timing.gone_fleet_s))
        self._next_gone = now + interval * (0.5 + self._draw())
        away = (Standing.GONE, Standing.LEFT)
        if self.roster.everyone is not None and self._draw() * there * HAIL_S < interval:
            # All who are gone read in it that they are said to be, and say otherwise.
            for number in self._some(
                1, (n for n, seen in self._members.items() if seen.standing in away)
            ):
                self._send_table(EVERYONE, number, now)
            return
        for number in self._some(
            1, (n for n, seen in self._members.items() if seen.standing in away)
        ):
            self._ping(number, now)

    # Suspicions.

    def _step_suspicions(self, now: float) -> None:
        ending = [n for n, s in self._suspicions.items() if s.ends <= now]
        if not ending:
            return
        # Where waits are short one that was just cut off has not had the time to notice.
        answered = not self._hurried or self._condition.answered_since(
            now - 2 * self.timing.period_s
        )
        judging = answered and self._judging(now)
        for number in ending:
            held = self._suspicions[number]
            if not judging or not held.told:
                # Whether it is heard itself this gateway does not know: it waits until somebody answers.
                held.began += self.timing.period_s
                continue
            if held.scaled(self._condition.refuting):
                continue
            del self._suspicions[number]
            claim = Claim(held.incarnation, Standing.GONE)
            if self.claims.merge(number, claim):
                self._own_news(number)
            self._set(number, Seen(Standing.GONE, held.incarnation, now, "timer", self.number), now)

    def _heard_by_others(self, now: float) -> None:
        """Somebody has answered. Of a suspicion that began here nobody knew before that, if what went out was
        lost: its time to be refuted begins now. Guards against a gateway that could not be heard, and once it
        could was quicker than the word of its suspicions."""
        for number, held in self._suspicions.items():
            if not held.told:
                held.told, held.began = True, now
                self._queue.put(number)

    def _woke(self, now: float) -> None:
        """This process stood still. What it waited for may lie unread, and what it had to tell is of the
        past."""
        self._probes.clear()
        self._helps.clear()
        for held in self._suspicions.values():
            held.began = now
        self._queue.clear()
        self._aloud.clear()
        self._own_news(self.number)
        self._touch(now)

    # Rumours and tables.

    def _own_news(self, number: int) -> None:
        """What others can have from this gateway only."""
        self._queue.put(number)
        if self.roster.everyone is not None:
            self._aloud.add(number)

    def _say_aloud(self, now: float) -> None:
        """Tell all at once what others can have from this gateway only; rumours go on beside it, for whom it
        does not reach."""
        interval = max(ALOUD_S, (len(self._there()) + 1) * ALOUD_FLEET_S)
        self._next_aloud = now + interval * (0.5 + self._draw())
        if len(self._aloud) <= BULK:
            told = list(self._aloud)
            if self._send(
                EVERYONE, Kind.GOSSIP, now, part=LATER, news=tuple(self._news(n) for n in told)
            ):
                self._aloud.clear()
            return
        first = min(self._aloud)
        stop = self._send_table(EVERYONE, first, now)
        self._aloud -= set(range(first, stop))

    def _gossip(self, now: float) -> None:
        part = self._sweep.telling(now, LATER)
        many = len(self._queue) > BULK and self.roster.everyone is not None
        for number in self._some(1 if many else self.timing.fanout, self._listeners(now)):
            if len(self._queue) > BULK:
                # Much has happened at once: a part of the table tells more in as many bytes.
                sent = self._send_table(number, self._queue.pick(1)[0], now, part) > 0
            else:
                sent = self._send(number, Kind.GOSSIP, now, part=part)
            if not sent:
                return

    def _listeners(self, now: float) -> list[int]:
        """Whom to tell: those that are there, and where many are suspected at once those that were heard
        lately. Seven in ten of the others may be gone, and what is sent to them tells nobody."""
        sound = [n for n in self._there() if n not in self._suspicions]
        if len(self._suspicions) < MANY:
            return sound
        return self._lately(sound, now)

    def _lately(self, numbers: list[int], now: float) -> list[int]:
        """Those of these that were heard within two periods; all where that are few."""
        since = now - 2 * self.timing.period_s
        heard = [n for n in numbers if self._heard.get(n, since) > since]
        return heard if len(heard) > self.timing.fanout else numbers

    def _compare(self, datagram: Datagram, now: float) -> None:
        if datagram.digest == self.claims.digest:
            return
        self._changed, self._view = now, None  # nothing is settled while two differ
        # While rumours run, tables differ without a fault; a newcomer's differs until somebody tells it all.
        if (
            self._next_sync <= now
            and not self._queue.fresh()
            and datagram.kind in (Kind.PING, Kind.ACK)
        ):
            self._next_sync = now + self.timing.sync_s * (0.5 + self._draw())
            sums = self.claims.digests()
            first = int(self._draw() * (len(sums) // MOST_SUMS + 1)) * MOST_SUMS
            self._send(
                datagram.number,
                Kind.SUMS,
                now,
                part=LATER,
                about=first,
                sums=tuple(sums[first : first + MOST_SUMS]),
                news=(),
            )

    def _tell_table(self, datagram: Datagram, now: float) -> None:
        """Tell a member what is held here of the parts in which it holds something else."""
        done = 0
        for members in self.claims.differing(datagram.sums, datagram.about):
            if members.start >= done:
                done = self._send_table(datagram.number, members.start, now)
                if not done:
                    return

    def _send_table(self, number: int, about: int, now: float, part: float = LATER) -> int:
        """What is held of the members round `about`, as many as go into one datagram, with as many behind it
        as before it left out; returns the number after the last, 0 where the budget is spent."""
        first = min(about, max(0, len(self.claims) - MOST_TOLD)) // CHUNK * CHUNK
        stop = min(len(self.claims), first + MOST_TOLD)
        while True:
            codes, base, others = self.claims.packed(range(first, stop))
            # With the largest head 60 bytes, and what differs 7 for each.
            if len(codes) + 7 * len(others) // 2 <= MOST_BYTES - 60 or stop - first <= CHUNK:
                break
            middle = first + max(CHUNK, (stop - first) // 2 // CHUNK * CHUNK)
            first, stop = (middle, stop) if about >= middle else (first, middle)
        sent = self._send(
            number,
            Kind.TABLE,
            now,
            part=part,
            about=first,
            codes=codes,
            base=base,
            others=tuple(others),
            news=(),
        )
        if not sent:
            return 0
        self._queue.told([n for n in self._queue.all() if first <= n < stop], len(self.roster))
        return stop

    def _read_table(self, datagram: Datagram, now: float) -> None:
        """What another holds of some members; it is told in turn where this one knows better."""
        better: list[int] = []
        try:
            claims = unpacked(datagram.codes, datagram.base, datagram.others)
        except ValueError:
            self.dropped["malformed"] += 1
            return
        for number, claim in enumerate(claims, datagram.about):
            if claim.standing is Standing.UNKNOWN and number >= len(self.roster):
                break
            if number >= len(self.roster):
                self.dropped["unknown member"] += 1
                break
            if number == self.number:
                self._of_self(claim, datagram.number, now)
            elif claim.standing is not Standing.UNKNOWN:
                self._claim(number, claim, datagram.number, "told", now)
            if self.claims[number][:2] > claim[:2]:
                better.append(number)
        if len(better) > BULK:
            self._send_table(datagram.number, better[0], now)
        elif better:
            self._send(datagram.number, Kind.GOSSIP, now, part=LATER, first=better)

    def _send(
        self,
        number: int,
        kind: Kind,
        now: float,
        *,
        sequence: int = 0,
        about: int = 0,
        part: float = 1.0,
        sums: tuple[int, ...] = (),
        codes: bytes = b"",
        base: int = 0,
        others: tuple[int, ...] = (),
        first: Iterable[int] = (),
        news: tuple[News, ...] | None = None,
    ) -> bool:
        """Send with as much news as there is room for; False: the budget is spent."""
        told: list[int] = []
        if news is None:
            told = list(first)
            if number != EVERYONE and self.claims[number] > Claim(
                self._heads.get(number, 0), Standing.ALIVE
            ):
                told.insert(0, number)  # what is said of it, which only it can refute
            # Answers and probes first: news that would crowd them out made sound members look silent.
            few = part == 1.0 and (self._budget.spent(now) > LATER / 2 or len(self._queue) > BULK)
            told += [
                n for n in self._queue.pick(2 if few else MOST_NEWS - len(told)) if n not in told
            ]
            news = tuple(self._news(n) for n in told)
        while True:
            data = encode(
                Datagram(
                    VERSION,
                    self.number,
                    self._life,
                    self.incarnation,
                    kind,
                    sequence,
                    self.claims.digest,
                    news,
                    about,
                    sums,
                    codes,
                    base,
                    others,
                )
            )
            if len(data) <= MOST_BYTES:
                break
            # A rumour takes 5 to 11 bytes: off with as many as surely are too many.
            off = max(1, (len(data) - MOST_BYTES) // 11)
            news, told = news[:-off], told[:-off]
        if not self._budget.take(len(data), now, part):
            self.unsent += 1
            return False
        self._queue.told(told, len(self.roster))
        self.outbox.append((number, data))
        return True

    def _news(self, number: int) -> News:
        claim = self.claims[number]
        return News(number, claim.incarnation, int(claim.standing), claim.slots)

    # What is held.

    def _set(self, number: int, seen: Seen, now: float) -> None:
        old = self._members.get(number)
        self._members = self._members.set(number, seen)
        if old is None or old.standing is not seen.standing:
            self._present = None
        if old is not None and (old.standing, old.incarnation) == (seen.standing, seen.incarnation):
            return
        if old is None or old.standing is not seen.standing:
            what = seen.standing.name.lower()
            self._note(Change(now, number, what, seen.incarnation, seen.how, seen.by), now)
        else:
            self._view = None

    def _touch(self, now: float) -> None:
        self._changed, self._view = now, None
        self._version += 1

    def _note(self, change: Change, now: float) -> None:
        self._touch(now)
        if len(self.changes) < MOST_CHANGES:
            self.changes.append(change)

    def _judge_self(self, now: float) -> None:
        state = self._condition.state(now)
        if state is not self._self:
            self._self = state
            self._note(
                Change(now, self.number, state.value, self.incarnation, "self", self.number), now
            )
