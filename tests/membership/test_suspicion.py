"""Timeouts of one suspicion."""

from __future__ import annotations

from quillroad.membership.suspicion import Suspicion


def test_a_suspicion_gets_longer_with_more_loss_and_never_shorter() -> None:
    held = Suspicion(1, 0.0, 2.0, 4.0, 1, others_know=True, scale=1.0)
    assert not held.rescale(1.1) and held.expires_at == 4.0
    assert held.rescale(1.5) and held.expires_at == 6.0
    assert not held.rescale(1.0) and held.expires_at == 6.0
