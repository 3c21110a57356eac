"""An instance leaves by DELETE, which is acknowledged; right after it all processes of the core are killed."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from fleet import *  # noqa: E402,F403

DRAIN_TIMEOUT = BOUNDS["drain_timeout_s"]
CONTACT_WINDOW = BOUNDS["contact_window_s"]
# How long the leaver serves on after the acknowledgement: drain_timeout_s "and a little longer (at times many seconds)".
SERVES_ON = 20.0
RATE = 60


async def traffic(fleet, answers, until):
    number = 0
    pending = set()

    async def one(front, path):
        answer = await request(fleet.front(front), "GET", path)
        status = answer[0] if answer else "none"
        answers[status] = answers.get(status, 0) + 1

    while time.monotonic() < until():
        number += 1
        task = asyncio.create_task(one(fleet.fronts[number % len(fleet.fronts)], f"/progress/{number}"))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*pending)


async def case(record, trouble):
    fleet = Fleet(fronts=4)
    try:
        fleet.start_all()
        servers = [await Server(fleet, "records", zone, number + 1).start() for number, zone in enumerate(list(ZONES) * 2)]
        controls = [fleet.control(core) for core in fleet.cores]
        first = first_call([service("records")], [route("r-progress", "/progress/", "records")])
        if not await order(controls, "PATCH", "/caperworks/configuration", first, within=15):
            raise CannotRun("the first configuration was not acknowledged")
        fleet.initial_start = False
        await fleet.ready()
        await asyncio.sleep(8)
        end = [time.monotonic() + 120]
        answers = {}
        load = asyncio.create_task(traffic(fleet, answers, lambda: end[0]))
        await asyncio.sleep(3)
        leaver = servers[0]
        before = len(leaver.runs)
        # The leaver sends no beat any more; one under way is waited for.
        leaver.leaving = True
        await asyncio.sleep(1.2)
        answer = await leaver.deregister()
        acknowledged = time.monotonic()
        if not answer or not 200 <= answer[0] < 300:
            raise CannotRun("the DELETE was not acknowledged")
        record.line(f"{leaver.id} sends DELETE without draining before: answered {answer[0]}; it had run {before} requests")
        settled = acknowledged
        if trouble:
            for core in fleet.cores:
                fleet.send(core, "controller", signal.SIGKILL)
            record.line(f"SIGKILL to all 3 controllers {1000 * (time.monotonic() - acknowledged):.0f} ms later")
            for core in fleet.cores:
                core.processes["controller"].wait()
            await asyncio.sleep(0.6)
            for core in fleet.cores:
                fleet.start(core, "controller")
            settled = time.monotonic()
            record.line(f"all 3 started again with their disks {settled - acknowledged:.2f} s after the acknowledgement")
        # Twice contact_window_s after the last event at the core all machines are in touch by any reading.
        judged = max(acknowledged + DRAIN_TIMEOUT, settled + 2 * CONTACT_WINDOW)
        await asyncio.sleep(max(0.0, acknowledged + SERVES_ON - time.monotonic()))
        leaver.stop()
        end[0] = time.monotonic()
        await load
        late = [at - acknowledged for at, *_ in leaver.runs if at > acknowledged + DRAIN_TIMEOUT]
        broken = [at for at in late if at > judged - acknowledged]
        alive = sum(core.processes["controller"].poll() is None for core in fleet.cores)
        record.line(f"answers to clients: {answers}; controllers running: {alive} of 3")
        record.line(f"requests that reached the leaver over {DRAIN_TIMEOUT} s after the acknowledgement: {len(late)}"
                    + (f", the last {late[-1]:.1f} s after it" if late else ""))
        record.line(f"of these, over {judged - acknowledged:.1f} s after it, when all machines were in touch: {len(broken)}")
        return bool(broken)
    finally:
        fleet.end()


main(case, __file__)
