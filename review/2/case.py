"""Runners that drain are cut off from control; a late heartbeat of each then brings it back.

Three of five runners of a service leave, one after the other, each in the same way.
"""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
sys.dont_write_bytecode = True

import fleet as kit  # noqa: E402

RUNNERS, LEAVING = 5, 3
CUT_S = 4.6
SERVING_S = 7.0


def hold_up_heartbeat(record, runner, follower, proxy):
    """Leaves a heartbeat in the middle of its way, on a channel that carried one before."""
    with runner.beats:
        path = f"/api/Instances.Heartbeat/{runner.id}"
        headers = {"Host": follower[0], "Content-Type": "application/json"}
        stream = socket.create_connection(runner.route(follower), timeout=1.0)
        file = stream.makefile("rb")
        answer = kit.exchange(stream, file, "POST", path, headers, runner.words())
        if answer is None or answer.status != 200:
            raise kit.CannotRun("a heartbeat was not acknowledged")
        record.write(f"the path from {runner.id} to {follower[0]} falls silent")
        proxy.cut()
        body = runner.words()
        record.write(f"runner {runner.id}: heartbeat {runner.sequence} (ready) is held up")
        try:
            kit.exchange(stream, file, "POST", path, headers, body)
        except OSError:
            pass


def retire(fleet, record, runner, proxies, trouble):
    """A planned shutdown of a runner; returns what reached it too late."""
    controls = fleet.control_addresses()
    leader = fleet.leader()
    if leader is None:
        raise kit.CannotRun("no control process leads")
    if trouble:
        follower = controls[(leader + 1) % 3]
        hold_up_heartbeat(record, runner, follower, proxies[follower])
    runner.state = "draining"
    until = time.monotonic() + 10.0
    while runner.drained_at is None and time.monotonic() < until:
        runner.beat(first=controls[leader])
    if runner.drained_at is None:
        raise kit.CannotRun("'draining' was not acknowledged")
    if trouble:
        record.write(f"the paths from {runner.id} to all control processes fall silent")
        for proxy in proxies.values():
            proxy.cut()
    time.sleep(CUT_S)
    if trouble:
        record.write(f"all paths of {runner.id} carry again")
        for proxy in proxies.values():
            proxy.heal()
    time.sleep(max(0.0, runner.drained_at + SERVING_S - record.now()))
    runner.leave()
    time.sleep(0.3)
    runner.end()
    bound = runner.drained_at + kit.BOUNDS["drain_ms"] / 1000
    late = [(at, request) for at, request in runner.arrivals if at > bound]
    record.write(f"runner {runner.id}: 'draining' acknowledged at {runner.drained_at:.3f}; "
                 f"{len(late)} requests reached it later than {bound:.3f}")
    return [f"{request} reached draining {runner.id} {at - runner.drained_at:.3f} s after the ack"
            for at, request in late]


def case(fleet, record, trouble):
    fleet.put(kit.config(1))
    fleet.wait_until_ready()
    controls = fleet.control_addresses()
    runners, paths = [], []
    for place in range(RUNNERS):
        address = (f"{fleet.net}.{101 + place}", 8080)
        runner = kit.Runner(record, "ticket-core", place, address, kit.ZONES[place % 3], controls,
                            work_s=0.03)
        runners.append(runner)
        # The paths of a runner that will leave lead through proxies.
        if place < LEAVING:
            first = 201 + 3 * place
            nodes = {control: (f"{fleet.net}.{first + turn}", 8229)
                     for turn, control in enumerate(controls)}
            paths.append({node: kit.Proxy(listen, node) for node, listen in nodes.items()})
            runner.route = nodes.get
    time.sleep(3.0)
    clients = [kit.Client(record, entry, "ficu95.example", "/ticket-core/2f", 0.07)
               for entry in fleet.entry_addresses() for _turn in range(8)]
    for client in clients:
        client.start()
    time.sleep(4.0)
    broken = []
    for runner, proxies in zip(runners, paths):
        broken += retire(fleet, record, runner, proxies, trouble)
    for client in clients:
        client.is_over = True
    time.sleep(0.5)
    for runner in runners[LEAVING:]:
        runner.end()
    served = sum(1 for client in clients for result in client.results if result[2] == 200)
    if served < 200:
        raise kit.CannotRun(f"only {served} requests were served")
    return broken


kit.main(case, FOLDER)
