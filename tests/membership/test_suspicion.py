"""The timeouts of a suspicion."""

from __future__ import annotations

from quillroad.membership.suspicion import Suspicion


def test_rescale_lengthens_a_suspicion_and_never_shortens_it() -> None:
    suspicion = Suspicion(1, 0.0, 2.0, 4.0, 1, known_to_others=True, scale=1.0)
    assert not suspicion.rescale(1.1) and suspicion.expires_at == 4.0
    assert suspicion.rescale(1.5) and suspicion.expires_at == 6.0
    assert not suspicion.rescale(1.0) and suspicion.expires_at == 6.0
