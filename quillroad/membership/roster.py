"""Which gateways there may be, and the address of each. Pure."""

from __future__ import annotations

from collections.abc import Sequence

Address = tuple[str, int]  # IPv4 host and UDP port, as `socket` has it


class Roster:
    """Members by number, this gateway's own among them.

    A datagram to `everyone` reaches all of them; None: there is no such address. Raises
    `ValueError` where the own number is not one of them, or an address is there twice.
    """

    def __init__(
        self, addresses: Sequence[Address], number: int, everyone: Address | None = None
    ) -> None:
        if not 0 <= number < len(addresses):
            raise ValueError(f"number {number} of {len(addresses)}")
        self.addresses = tuple(addresses)
        self.number = number
        self.everyone = everyone
        self._numbers = {address: i for i, address in enumerate(self.addresses)}
        if len(self._numbers) < len(self.addresses):
            raise ValueError("an address is there twice")

    def __len__(self) -> int:
        return len(self.addresses)

    def number_of(self, address: Address) -> int | None:
        """Return whose address this is; None: nobody's."""
        return self._numbers.get(address)
