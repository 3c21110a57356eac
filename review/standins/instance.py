"""An instance as PROTOCOL.md describes it: beats, holds on keys, and an HTTP server that runs requests."""

import asyncio
import itertools
import random
import time

from http_wire import call, encode, read_message

BEAT_INTERVAL_S = 1.5


class Hold:
    """The rows of keys of one answer to a beat, held from when it came until it runs out or is replaced."""

    def __init__(self, rows, since, until):
        self.rows, self.since, self.until = rows, since, until


class Instance:
    """One life of an instance.

    `work_s` is a function of a request's path that says how long the work takes.
    """

    def __init__(self, deployment, service, zone, ip, port, keyed=False, slots=4, work_s=lambda path: 0.02):
        self.deployment, self.record = deployment, deployment.record
        self.id = f"i-{random.getrandbits(32):08x}"
        self.service, self.zone, self.ip, self.port = service, zone, ip, port
        self.keyed, self.slots, self.work_s = keyed, slots, work_s
        self.state = "ready"
        self.is_up = False
        self.ended_at = None
        self.running = 0
        self.sequence = itertools.count(1)
        self.beat_address = None
        self.next_core = random.randrange(3)
        # Holds, newest last; those that were replaced stay for the judge, ended at their replacement.
        self.holds = []
        self.released = []
        self.highest_fence = {}
        self.at_work = []
        # (time, Attempt-Id, key, frontend's address) of each request that began to run.
        self.runs = []
        self.works = []
        self.arrivals = []
        self.slowest_beat_s = 0.0
        self._beat_task = None
        self._server = None
        self._connections = set()

    # Life.

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.is_up = True
        self.record.write(f"{self.id} ({self.service}, {self.zone}, {self.ip}:{self.port}) is up")
        self._beat_task = asyncio.create_task(self._beat_forever())

    def stop_beats(self):
        if self._beat_task:
            self._beat_task.cancel()
            self._beat_task = None

    async def end(self):
        """Ends this life: no beats, no connections."""
        self.stop_beats()
        self.is_up = False
        self.ended_at = time.monotonic()
        if self._server:
            self._server.close()
        for writer in list(self._connections):
            writer.close()
        self.record.write(f"{self.id} has ended")

    async def leave(self, within_s=8.0):
        """Sends DELETE until it is acknowledged; returns when it was, or None."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            address = self._address()
            status, _ = await call(address, "DELETE", f"/caperworks/instances/{self.id}", ip=self.ip)
            self.record.write(f"{self.id} sent DELETE to {address[0]}: {status}")
            if status is not None and 200 <= status < 300:
                return time.monotonic()
            self._next_address()
            await asyncio.sleep(0.1)
        return None

    # Beats.

    def _address(self):
        if self.beat_address:
            return self.beat_address
        controls = self.deployment.control_addresses()
        return controls[self.next_core % len(controls)]

    def _next_address(self):
        self.beat_address = None
        self.next_core += 1

    async def _beat_forever(self):
        while True:
            wait = await self.beat()
            await asyncio.sleep(wait)

    async def beat(self):
        """Sends one beat; returns when the next is due."""
        now = time.monotonic()
        status = {"instance_state": self.state, "call_sequence": next(self.sequence), "cold_remaining_s": 0}
        value = {
            "address": f"{self.ip}:{self.port}",
            "information": {"service_name": self.service, "version_number": "v1", "zone_name": self.zone,
                            "capacity_slots": self.slots},
            "status": status,
        }
        told = list(self.released)
        if self.keyed:
            value["duty_holds"] = self._held_or_at_work(now)
            value["released"] = told
        code, answer = await call(self._address(), "PUT", f"/caperworks/instances/{self.id}", value,
                                  ip=self.ip)
        took = time.monotonic() - now
        if code is None or not 200 <= code < 300:
            self._next_address()
            return 0.2
        self.slowest_beat_s = max(self.slowest_beat_s, took)
        self.released = [row for row in self.released if row not in told]
        answer = answer or {}
        if answer.get("heartbeat_address"):
            host, _, port = answer["heartbeat_address"].rpartition(":")
            self.beat_address = (host, int(port))
        if self.keyed and "duty_holds" in answer:
            if self._take(answer["duty_holds"], now, answer.get("hold_duration_s", 0.0)):
                return 0.1
        return BEAT_INTERVAL_S

    def _current(self, now):
        """Returns the rows that are held now."""
        if self.holds and now < self.holds[-1].until:
            return self.holds[-1].rows
        return []

    def _held_or_at_work(self, now):
        rows = [row[:3] for row in self._current(now)]
        for key, fence in self.at_work:
            if not any(low <= key <= high for low, high, _ in rows):
                rows.append([key - key % 256, key - key % 256 + 255, fence])
        return rows

    def _take(self, rows, sent, duration):
        """Takes an answer: these rows and no others, counted from the sending of the beat.

        Returns whether something was let go, which the next beat tells.
        """
        now = time.monotonic()
        before = self._current(now)
        # A row is not taken if a higher fence was seen on one of its keys.
        rows = [row for row in rows
                if all(row[2] >= self.highest_fence.get(key, 0) for key in range(row[0], row[1] + 1, 256))]
        for low, high, fence, _ in rows:
            for key in range(low, high + 1, 256):
                self.highest_fence[key] = fence
        if self.holds and now < self.holds[-1].until:
            self.holds[-1].until = now
        self.holds.append(Hold([row[:3] for row in rows], now, sent + duration))
        let_go = []
        for low, high, _ in before:
            for key in range(low, high + 1, 256):
                if not any(first <= key <= last for first, last, _ in self.holds[-1].rows):
                    let_go.append([key, key + 255, f"{random.getrandbits(64):016x}"])
        self.released += let_go
        return bool(let_go)

    def holds_all_of(self, now):
        """Returns how many keys are held now."""
        return sum(high - low + 1 for low, high, _ in self._current(now))

    # Requests.

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                await self._answer(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        now = time.monotonic()
        method, path, _ = request.first_line
        headers = request.headers
        attempt = headers.get("attempt-id", "")
        caller = writer.get_extra_info("peername")[0]
        self.arrivals.append((now, attempt))
        refusal = None
        key = int(headers["shard-key"]) if "shard-key" in headers else None
        fence = None
        if headers.get("expected-instance", self.id) != self.id:
            refusal = "421 Misdirected Request"
        elif self.keyed:
            rows = [row for row in self._current(now) if key is not None and row[0] <= key <= row[1]]
            if rows:
                fence = rows[0][2]
            else:
                refusal = "421 Misdirected Request"
        if refusal is None and self.running >= self.slots + 16:
            refusal = "503 Service Unavailable"
        answer = {"Attempt-Id": attempt, "Instance-Id": self.id,
                  "Instance-Load": f"{min(self.running, self.slots)},{max(0, self.running - self.slots)},{self.slots}"}
        if refusal:
            self.record.write(f"{self.id} turns {attempt} away: {refusal}")
            writer.write(encode(f"HTTP/1.1 {refusal}", answer | {"Not-Executed": "1"}))
            await writer.drain()
            return
        self.running += 1
        work = (key, fence)
        if self.keyed:
            self.at_work.append(work)
        self.runs.append((now, attempt, key, caller))
        self.record.write(f"{self.id} begins {method} {path} {attempt}"
                          + (f" key {key}" if key is not None else "") + f" from a process at {caller}")
        try:
            await asyncio.sleep(self.work_s(path))
        finally:
            self.running -= 1
            if self.keyed:
                self.at_work.remove(work)
        self.works.append((now, time.monotonic(), attempt, key))
        writer.write(encode("HTTP/1.1 200 OK", answer | {"Server-Seal": f"{random.getrandbits(48):x}"},
                            f"done by {self.id}\n".encode()))
        await writer.drain()
        self.record.write(f"{self.id} has answered {attempt}")
