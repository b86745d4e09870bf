"""A runner fails part of its bookings with 503 after it has run them; callers are told that
they have not run."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))

from bed import (  # pylint: disable=wrong-import-position
    LIMITS, TROUBLE, Bed, Runner, ask, main, put, route, serve_until, service)

SHARE = 0.45   # srv_grey: x of the site's list of troubles
LENGTH_S = 6.5  # srv_grey: for_s of the site's list of troubles


class Booking(Runner):
    """Runs each booking. While it fails, part of them end with 503, which says nothing of
    X-Not-Run."""

    failing = False
    count = 0

    async def run(self, first, headers, body, writer):
        if not first.startswith("POST"):
            return await super().run(first, headers, body, writer)
        self.note(first, headers, body)
        self.count += 1
        await asyncio.sleep(0.02)
        if self.failing and int(self.count * SHARE) != int((self.count - 1) * SHARE):
            self.record.say(f"runner {self.id} fails {headers.get('x-request-id')} with 503")
            writer.write(self.head("503 Service Unavailable", ["Content-Length: 6"], headers)
                         + b"failed")
        else:
            writer.write(self.head("200 OK", ["Content-Length: 6"], headers) + b"booked")
        await writer.drain()
        return True


async def case(record):
    bed = Bed(record)
    try:
        bed.start_all()
        await put(bed, record, {
            "version": 1,
            "routes": [route("booking", "/book/", "unsafe", "app", attempts=1),
                       route("lookup", "/look/", "safe", "app")],
            "services": [service("app")], "limits": LIMITS,
        })
        runner = Booking(bed, record, "app")
        await runner.start()
        if not await serve_until(bed, record, bed.entries[0], "/look/a", None):
            return 2
        runner.failing = TROUBLE
        began, answers = time.monotonic(), []
        while time.monotonic() < began + LENGTH_S:
            answers.append(await ask(bed, record, bed.entries[0], "POST", "/book/a", None, b"x"))
            await asyncio.sleep(0.1)
        runner.failing = False
        ran = {request for request, _tenant, _first in runner.ran}
        promised = [request for request, answer in answers
                    if answer is not None and answer.status in (408, 421, 429, 503)]
        false = [request for request in promised if request in ran]
        record.say(f"{len(answers)} bookings, {len(ran)} runs; {len(promised)} answers promise "
                   f"that nothing ran, {len(false)} of them falsely")
        return 1 if false else 0
    finally:
        bed.end()


main(HERE, case)
