"""Admission for the gateway's own sake: what its core cannot serve is refused before it costs much. No I/O.

There are two signals. One is the queue in this process, which CoDel controls by (RFC 8289). Each turn of the
loop serves all that is readable, so a turn is as long as the next request has waited, and a timer is late by
half a turn on average. The other is how long requests wait in here for their first send, and it counts only
while the core is busy: a host has few requests at a time, and a core that does not get round to their answers
keeps others waiting in turns that are short. A wait with time to spare is the hosts' doing, and the policy's.
A busy core with no wait needs no help either: refusing more would not make it less busy where those refused
ask again at once.

A rate of admissions follows, up in steps and down in proportion to the excess; worth decides who is within
that rate, as business priority does in DAGOR (Zhou et al., "Overload Control for Scaling WeChat
Microservices", SoCC 2018).

It judges only the gateway's core. Hosts in trouble make no turn longer, and are the policy's own to judge.
Only requests that nothing was sent for come here, so a refusal is always harmless.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

TARGET_S = 0.035  # by which a sign of life may be late on average: turns of the loop are twice as long
INTERVAL_S = 0.050  # between two steps; hosts answer within a few of them, so a step's effect is seen
WAIT_S = 0.050  # for a first send, on average, while the core is busy: aims are several times that
PATIENCE = 3  # intervals in a row in which a queue stood, for shedding to begin: bursts pass by themselves
BUSY = 0.92  # share of the allowed CPU time at which it is
DOWN = 0.15  # the most that one step takes off the rate
UP = 0.10  # what a step without a queue adds to it at the most
UP_NEAR, NEAR = 0.015, 0.85  # and from this part on of the rate that was too much last: slowly at first,
PROBE = 8.0  # and after so many intervals with no queue faster and faster, as CUBIC does (RFC 9438)
SURE = 0.8  # part of what the core would serve if all its time went as that it used, which is sure
SPARE = 1.3  # the rate over the demand at which nothing is shed any more
LEAST_RATE = 20.0  # requests a second admitted at the worst, to find out that it is over
OWN = 0.5  # part of the core's time that is for requests, however many refusals want it: whoever is refused
# may ask again, and a core that does nothing but refuse would go on for ever
KNOWN = 50  # requests that must have ended in an interval, or in several, for their cost to be known
RISE = 0.002  # what the cost of a request rises by in an interval that did not show a lower one
SMOOTH = 0.4  # weight of the newest interval in what is measured
DEEPEST = 0.6  # part of the rate that was too much that is admitted at the least, while a queue drains
FADE = 0.03  # what that rate loses with each further interval in which the queue stands
WAKE_LATE_S, WAKE_BUSY = 0.005, 0.7  # under both nothing waits, and requests are not even counted
AWAKE_S = 2.0  # for which they are counted after that
IDLE_S = 0.5  # with nothing heard for so long all that was learned of the demand is past


class Quota:
    """A tenant's share here, in requests a second; one second's worth may come at once."""

    __slots__ = ("_filled", "_rate", "_tokens")

    def __init__(self, rate: float) -> None:
        self._rate, self._tokens, self._filled = rate, max(1.0, rate), 0.0

    def within(self, now: float) -> bool:
        """Whether one more request is inside the share; takes it if so."""
        self._tokens = min(max(1.0, self._rate), self._tokens + self._rate * (now - self._filled))
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Admission:
    """Says for each request whether the core has time for it.

    `worths` has each class's worth for the CPU it costs; what is beyond its tenant's share counts
    `over_worth` of that (0 to 1). `quotas` are the tenants' shares at this gateway in requests a second; with
    none told there are no shares. `cpu_s` tells the CPU time used so far, of which there are `cores` a
    second. Times are seconds of one clock that never goes back.
    """

    def __init__(
        self,
        worths: Sequence[float],
        cpu_s: Callable[[], float],
        cores: float = 1.0,
        over_worth: float = 1.0,
        quotas: Sequence[float] = (),
    ) -> None:
        self._cpu_s, self._cores = cpu_s, cores
        self._cpu_before = 0.0
        self._busy = 0.0  # share of the allowed CPU time used of late
        self._classes = len(worths)
        worth = [*worths, *(w * over_worth for w in worths)]
        self._order = sorted(range(len(worth)), key=lambda level: -worth[level])
        self._quotas = [Quota(rate) for rate in quotas]
        self._demand = [0.0] * len(worth)  # requests a second of each level, smoothed
        self._came = [0] * len(worth)  # in this interval
        self._share = [1.0] * len(worth)  # of each level that is admitted
        self._credit = [0.0] * len(worth)
        self._began = 0.0  # of the interval
        self._waits, self._waited = 0, 0.0  # first sends in this interval, and their waits in all
        self.ended = 0  # admitted requests that have got their answer in this interval
        self._ended_rate = 0.0
        self._too_much = float("inf")  # what was served when a queue stood last
        self._cost = 0.0  # CPU seconds a request at the least, refusals and all; 0: not known yet
        self._ends, self._cpu = 0, 0.0  # in the intervals since it was measured last
        self._standing = False  # whether a queue stood in the interval before
        self._stood = 0  # intervals in a row in which a queue stood
        self._calm = 0  # intervals since one stood
        self._counted = False  # whether the interval before was counted too
        self._awake_until = -1.0
        self.awake = False  # whether requests are counted, and `admit` is to be asked
        self._late, self._beats = 0.0, 0  # of the signs of life in this interval
        self.rate = float("inf")  # requests a second that the core has time for, where that is known
        self.shedding = False

    @property
    def demand(self) -> float:
        """Requests a second that were asked for of late, while they were counted."""
        return sum(self._demand)

    def beat(self, now: float, late: float) -> None:
        """A sign of life that was due `late` seconds ago, every 25 ms while there is work."""
        self._late += late
        self._beats += 1
        if now - self._began >= INTERVAL_S:
            self._step(now)

    def sent(self, waited: float) -> None:
        """A request has been sent for the first time, `waited` seconds after it came."""
        self._waits += 1
        self._waited += waited

    def admit(self, now: float, route: int, tenant: int) -> bool:
        """Whether to take on a request of class `route`; a tenant below 0 or unknown has no share."""
        if self.shedding and now - self._began > IDLE_S:
            self._forget()  # no sign of life is due without work: the overload is long over
        level = route
        if self._quotas and not (0 <= tenant < len(self._quotas) and self._quotas[tenant].within(now)):
            level += self._classes
        self._came[level] += 1
        if self.shedding:
            # Evenly spread over the requests of a level, with no chance in it.
            self._credit[level] += self._share[level]
            if self._credit[level] < 1.0:
                return False
            self._credit[level] -= 1.0
        return True

    def _step(self, now: float) -> None:
        passed, cpu = now - self._began, self._cpu_s()
        used, self._cpu_before = (cpu - self._cpu_before) / (passed * self._cores), cpu
        late = self._late / self._beats
        if passed > IDLE_S and late < IDLE_S / 2:  # there was no work for long: no interval to judge
            self._forget()
        else:
            weight = SMOOTH if self._counted else 1.0
            for level, came in enumerate(self._came):
                self._demand[level] += weight * (came / passed - self._demand[level])
            self._ended_rate += weight * (self.ended / passed - self._ended_rate)
            self._busy += weight * (used - self._busy)
            self._learn_cost(used * passed * self._cores)
            self._counted = self.awake
            self._adapt(late, self._waited / self._waits if self._waits else 0.0)
        self._came = [0] * len(self._came)
        self.ended, self._began, self._late, self._beats = 0, now, 0.0, 0
        self._waits, self._waited = 0, 0.0
        if late > WAKE_LATE_S or self._busy > WAKE_BUSY:
            self._awake_until = now + AWAKE_S
        self._deal()
        self.awake = self.shedding or now < self._awake_until

    def _learn_cost(self, cpu: float) -> None:
        self._ends += self.ended
        self._cpu += cpu
        if self._ends >= KNOWN:
            seen, self._ends, self._cpu = self._cpu / self._ends, 0, 0.0
            self._cost = min(self._cost * (1.0 + RISE), seen) if self._cost else seen

    def _forget(self) -> None:
        self._demand = [0.0] * len(self._demand)
        self._ended_rate, self._busy, self._counted, self._standing = 0.0, 0.0, False, False
        self.rate = self._too_much = float("inf")
        self.shedding = False

    def _adapt(self, late: float, waited: float) -> None:
        if not self.awake:
            return  # nothing was counted
        excess = max(late / TARGET_S - 1.0, waited / WAIT_S - 1.0 if self._busy > BUSY else -1.0)
        self._stood = self._stood + 1 if excess > 0.0 else 0
        if excess > 0.0 and self._cost and (self.shedding or self._stood >= PATIENCE):
            # Less is admitted until the queue has drained, but not ever less: while it drains it stands, and
            # tells nothing of the rate. Only a queue that stands for long says that the rate was worse.
            if self._standing:
                self._too_much *= 1.0 - FADE
            else:
                self._too_much = min(self.rate, self._ended_rate)
            self._standing, self._calm = True, 0
            rate = min(self.rate, self._too_much) * (1.0 - DOWN * min(1.0, excess))
            self.rate = max(LEAST_RATE, OWN * BUSY * self._cores / self._cost, DEEPEST * self._too_much, rate)
        else:
            self._standing, self._calm = False, self._calm + 1
            near = self.rate >= NEAR * self._too_much
            up = min(UP, UP_NEAR * (1.0 + (self._calm / PROBE) ** 2)) if near else UP
            # Refusals cost time too, so this is less than the core can do, and more the closer it gets.
            sure = SURE * self._ended_rate * BUSY / max(self._busy, 0.02)
            self.rate = max(self.rate * (1.0 + up * min(1.0, -excess)), sure)

    def _deal(self) -> None:
        """Deal the rate out by worth."""
        demand = self.demand
        was, self.shedding = self.shedding, self.rate < SPARE * demand
        if not self.shedding:
            if was:
                self._credit = [0.0] * len(self._credit)
            if self.rate > 4.0 * SPARE * demand:
                self.rate = float("inf")
            return
        left = self.rate
        for level in self._order:
            asked = self._demand[level]
            self._share[level] = 1.0 if asked <= left else left / asked
            left = max(0.0, left - asked)
