"""The last tenant is taken out of the config; its key, and any other, opens the routes."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))

from bed import (  # pylint: disable=wrong-import-position
    LIMITS, TROUBLE, Bed, Runner, ask, main, put, route, serve_until, service, tenant)

REVOKE_S = 5.0  # bounds.revoke_ms of the site
HELD, NEVER_HELD = "k-clinic-1", "k-never-held"


def config(version, tenants):
    return {
        "version": version,
        "routes": [
            route("booking", "/book/", "unsafe", "app", attempts=1),
            route("lookup", "/look/", "safe", "app"),
        ],
        "services": [service("app")], "limits": LIMITS, "tenants": tenants,
    }


async def case(record):
    bed = Bed(record, entries=2)
    try:
        bed.start_all()
        await put(bed, record, config(1, [tenant("clinic", [HELD])]))
        runner = Runner(bed, record, "app")
        await runner.start()
        for entry in bed.entries:
            if not await serve_until(bed, record, entry, "/look/a", HELD):
                return 2
        # An unknown key is refused while there is a tenant.
        _request, answer = await ask(bed, record, bed.entries[0], "POST", "/book/a", NEVER_HELD, b"x")
        if answer is None or answer.status != 401:
            return 2
        # First the key alone is taken away, as a control: the tenant stays, without keys.
        kept = [tenant("clinic", [])]
        answer = await put(bed, record, config(3, kept))
        if answer is None or answer.status != 200:
            return 2
        await asyncio.sleep(REVOKE_S + 1)
        before = len(runner.ran)
        for entry in bed.entries:
            await ask(bed, record, entry, "POST", "/book/b", HELD, b"x")
        if len(runner.ran) != before:
            record.say("the key is accepted although its tenant has none")
            return 1
        # Then the tenant is taken out, the only one that there was.
        answer = await put(bed, record, config(7, [] if TROUBLE else kept))
        if answer is None or answer.status != 200:
            return 2
        await asyncio.sleep(REVOKE_S + 1)
        for entry in bed.entries:
            for key in (HELD, NEVER_HELD):
                await ask(bed, record, entry, "POST", "/book/c", key, b"x")
        await asyncio.sleep(0.5)
        ran = len(runner.ran) - before
        record.say(f"{ran} bookings ran, {REVOKE_S + 1} s after the ack, with keys that no "
                   "tenant holds")
        return 1 if ran else 0
    finally:
        bed.end()


main(HERE, case)
