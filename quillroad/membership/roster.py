"""The configured members of the cluster and their addresses."""

from __future__ import annotations

from collections.abc import Sequence

Address = tuple[str, int]  # IPv4 host and UDP port, as in `socket`


class Roster:
    """Addresses of all members by number, including this gateway.

    A datagram to `everyone` reaches all of them; None if there is no such address. Raises
    `ValueError` if this gateway's `number` is outside the roster, or an address appears twice.
    """

    def __init__(
        self, addresses: Sequence[Address], number: int, everyone: Address | None = None
    ) -> None:
        if not 0 <= number < len(addresses):
            raise ValueError(
                f"gateway number {number} is outside the roster of {len(addresses)} addresses"
            )
        self.addresses = tuple(addresses)
        self.number = number
        self.everyone = everyone
        self._numbers = {address: i for i, address in enumerate(self.addresses)}
        if len(self._numbers) < len(self.addresses):
            raise ValueError("an address is there twice")

    def __len__(self) -> int:
        return len(self.addresses)

    def number_of(self, address: Address) -> int | None:
        """Return the number of the member with this address, or None if no member has it."""
        return self._numbers.get(address)
