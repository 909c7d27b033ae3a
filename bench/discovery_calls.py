"""What the waits for a shared discovery cost and bring: calls a second of the whole fleet, and how old lists
get.

    python -m bench.discovery_calls

For services that take one call from each gateway in 2 to 8 s: the part of the gateways that have their list
later than 6.5 s after the watches fell silent, ended, or the fleet started; the last one's time; calls for
each gateway; and the most calls in one second.
"""

from __future__ import annotations

from testbed.service import Service, lists_after, most_calls

GRACE_S = 6.5  # a change counts as told after 6 s, and sends may go on for 0.5 s
SEEDS = range(5)


def main() -> None:
    print("gateways  service  overbook  event     late  last   calls each  most in 1 s")
    for gateways in (4, 40, 200):
        for all_s in (2.0, 4.0, 5.0, 6.0, 8.0):
            for overbook in (1.0, 3.0):
                for event in ("silent", "ended", "start", "down"):
                    late, last, each, most = 0.0, 0.0, 0.0, 0
                    for seed in SEEDS:
                        up_s = 8.0 if event == "down" else 0.0
                        service = Service(all_s / gateways, overbook, up_s)
                        has = lists_after(
                            gateways, service, seed, event == "silent", event == "start"
                        )
                        after = [at - up_s for at in has]
                        late += sum(at > GRACE_S for at in after) / gateways / len(SEEDS)
                        last, most = max(last, *after), max(most, most_calls(service.calls))
                        each += len(service.calls) / gateways / len(SEEDS)
                    print(
                        f"{gateways:8d}  {all_s:5.0f} s  {overbook:8.0f}  {event:8s} {late:5.2f}"
                        f" {last:5.1f} s {each:11.1f} {most:12d}"
                    )


if __name__ == "__main__":
    main()
