"""By how many gateways to divide what they share. No I/O.

The fewer, the larger this gateway's share: too many costs some room that nobody uses, too few pushes hosts
over. So the number rises at once and falls only on a view that has been certain for a while; in doubt it is
the told one.
"""

from __future__ import annotations

from typing import NamedTuple

from quillroad.membership.condition import Self
from quillroad.membership.view import View


class Part(NamedTuple):
    """This gateway is `number`, from 0, of `of`."""

    number: int
    of: int


class Share:
    """`told` is the part by the settings; `hold_s` how long a view has to be certain before a share grows."""

    def __init__(self, told: Part, hold_s: float) -> None:
        self._told, self._hold_s = told, hold_s
        self.part = told

    def follow(self, view: View, now: float) -> Part:
        """The part to use from now on."""
        told = self._told
        if view.self_state is Self.DOUBLED:
            # Two processes divide one part, whichever of them is the wrong one.
            self.part = Part(told.number, 2 * told.of)
        elif view.self_state is not Self.SOUND:
            self.part = told
        elif view.there > self.part.of or view.settled(now, self._hold_s):
            self.part = Part(view.rank(), view.there)
        return self.part
