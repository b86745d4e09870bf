"""A runner that drains is cut off from control; a late heartbeat of it then brings it back."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
sys.dont_write_bytecode = True

import fleet as kit  # noqa: E402

CUT_S = 4.6
END_S = 9.0


def case(fleet, record, trouble):
    fleet.put(kit.config(1))
    fleet.wait_until_ready()
    controls = fleet.control_addresses()
    runners = []
    for place in range(3):
        address = (f"{fleet.net}.{101 + place}", 8080)
        zone = kit.ZONES[place]
        runners.append(kit.Runner(record, "ticket-core", place, address, zone, controls, work_s=0.03))
    leaving = runners[0]
    # The paths of the first runner to the control processes lead through proxies.
    proxies = {}
    for place, control in enumerate(controls):
        listen = (f"{fleet.net}.{201 + place}", 8229)
        proxies[control] = kit.Proxy(listen, control)
    leaving.route = lambda node: (f"{fleet.net}.{201 + controls.index(node)}", 8229)

    time.sleep(3.0)
    clients = [kit.Client(record, entry, "ficu95.example", "/ticket-core/2f", 0.07)
               for entry in fleet.entry_addresses() for _turn in range(8)]
    for client in clients:
        client.start()
    time.sleep(6.0)

    leader = fleet.leader()
    if leader is None:
        raise kit.CannotRun("no control process leads")
    follower = controls[(leader + 1) % 3]
    if trouble:
        # A heartbeat is on its way while its path falls silent; its sender goes on to the next
        # node after a second.
        record.write(f"the path from {leaving.id} to {follower[0]} falls silent")
        with leaving.beats:
            path = f"/api/Instances.Heartbeat/{leaving.id}"
            headers = {"Host": follower[0], "Content-Type": "application/json"}
            stream = socket.create_connection(leaving.route(follower), timeout=1.0)
            file = stream.makefile("rb")
            answer = kit.exchange(stream, file, "POST", path, headers, leaving.words())
            if answer is None or answer.status != 200:
                raise kit.CannotRun("a heartbeat was not acknowledged")
            proxies[follower].cut()
            body = leaving.words()
            record.write(f"runner {leaving.id}: heartbeat {leaving.sequence} (ready) is held up")
            try:
                kit.exchange(stream, file, "POST", path, headers, body)
            except OSError:
                pass
    # A planned shutdown begins.
    leaving.state = "draining"
    until = time.monotonic() + 10.0
    while leaving.drained_at is None and time.monotonic() < until:
        leaving.beat(first=controls[leader])
    if leaving.drained_at is None:
        raise kit.CannotRun("'draining' was not acknowledged")
    if trouble:
        record.write(f"the paths from {leaving.id} to all control processes fall silent")
        for proxy in proxies.values():
            proxy.cut()
    time.sleep(CUT_S)
    if trouble:
        record.write("all paths carry again")
        for proxy in proxies.values():
            proxy.heal()
    rest = leaving.drained_at + END_S - record.now()
    time.sleep(max(0.0, rest))
    for client in clients:
        client.is_over = True
    time.sleep(0.5)
    leaving.leave()
    time.sleep(0.5)
    for runner in runners:
        runner.end()

    bound = leaving.drained_at + kit.BOUNDS["drain_ms"] / 1000
    late = [(at, request) for at, request in leaving.arrivals if at > bound]
    record.write(f"'draining' acknowledged at {leaving.drained_at:.3f}; {len(late)} requests reached "
                 f"the runner later than {bound:.3f}")
    served = sum(1 for client in clients for result in client.results if result[2] == 200)
    if served < 200:
        raise kit.CannotRun(f"only {served} requests were served")
    return [f"{request} reached the draining runner {at - leaving.drained_at:.3f} s after the ack"
            for at, request in late]


kit.main(case, FOLDER)
