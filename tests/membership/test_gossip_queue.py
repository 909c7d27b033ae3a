"""The order in which queued updates are sent, and how often each is sent."""

from __future__ import annotations

from math import ceil, log10

import pytest

from quillroad.membership.gossip_queue import RETRANSMIT_FACTOR, GossipQueue


def test_updates_sent_least_often_go_first() -> None:
    queue = GossipQueue()
    for number in (1, 2, 3):
        queue.put(number)
    queue.mark_sent([1, 2], 100)
    queue.mark_sent([1], 100)
    assert queue.pick(2) == [3, 2] and queue.pick(9) == [3, 2, 1]
    assert queue.has_unsent()
    queue.mark_sent([3], 100)
    assert not queue.has_unsent()


@pytest.mark.parametrize("cluster_size", [2, 40, 4096])
def test_an_update_is_sent_a_bounded_number_of_times(cluster_size: int) -> None:
    """Without the bound, a member would keep sending every change that ever happened."""
    queue = GossipQueue()
    queue.put(7)
    sends = 0
    while len(queue):
        queue.mark_sent(queue.pick(1), cluster_size)
        sends += 1
    assert sends == RETRANSMIT_FACTOR * ceil(log10(cluster_size + 1))


def test_a_changed_update_restarts_its_send_count_and_a_dropped_one_is_removed() -> None:
    queue = GossipQueue()
    queue.put(1)
    queue.mark_sent([1, 1, 9], 100)  # 9 is not queued
    queue.put(1)
    assert queue.has_unsent() and queue.all() == [1]
    queue.drop(1)
    queue.drop(1)
    assert not len(queue) and queue.pick(3) == []
