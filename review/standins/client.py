"""Clients: they ask a directory where to go, and send requests to the proxies that it names."""

import asyncio
import random
import time

from http_wire import call, encode, read_message


class Client:
    """Sends requests, each on a new connection to an address that a directory named."""

    def __init__(self, deployment, host, zone):
        self.deployment, self.record, self.host, self.zone = deployment, deployment.record, host, zone
        # Clients of a zone have addresses of their own, as the placement tells groups of clients by them.
        zones = list(deployment.site["zones"])
        self.ip = f"{deployment.network}.{200 + zones.index(zone)}"
        self.addresses, self.fresh_until = [], 0.0
        self.answers = []

    async def resolve(self):
        now = time.monotonic()
        if now < self.fresh_until:
            return
        near = [machine for machine in self.deployment.frontends if machine.zone == self.zone]
        far = [machine for machine in self.deployment.frontends if machine.zone != self.zone]
        region = self.deployment.site["zones"][self.zone]
        query = f"/caperworks/resolution?name={self.host}&region_name={region}&zone_name={self.zone}"
        for machine in (near + far)[:3]:
            status, value = await call(self.deployment.address(machine, "directory_service"), "GET", query,
                                       ip=self.ip)
            if status == 200 and value and value.get("addresses"):
                self.addresses = [
                    (host, int(port)) for host, _, port in (text.rpartition(":") for text in value["addresses"])
                ]
                self.fresh_until = now + value["lifetime_s"]
                return

    async def request(self, method, path, body=b"", key=None, deadline_ms=2000, to=None):
        """Sends one request; returns its status, or None if the connection ended without a whole answer."""
        if to is None:
            await self.resolve()
            if not self.addresses:
                self.record.write(f"client in {self.zone} has no address to send {method} {path} to")
                now = time.monotonic()
                self.answers.append((None, now, now, None, "no directory named an address"))
                return self.answers[-1]
            to = random.choice(self.addresses)
        attempt = f"{random.getrandbits(64):016x}"
        headers = {"Host": self.host, "Attempt-Id": attempt, "Deadline-Remaining": deadline_ms}
        if key is not None:
            headers["Shard-Key"] = key
        self.record.write(f"client in {self.zone} sends {method} {path} {attempt}"
                          + (f" key {key}" if key is not None else "") + f" to {to[0]}:{to[1]}")
        sent = time.monotonic()
        status, why = None, "the connection ended without an answer"
        try:
            async def exchange():
                reader, writer = await asyncio.open_connection(*to, local_addr=(self.ip, 0))
                try:
                    writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                    return await read_message(reader)
                finally:
                    writer.close()
            answer = await asyncio.wait_for(exchange(), deadline_ms / 1000)
            if answer is not None:
                status = answer.status
        except asyncio.TimeoutError:
            why = "the client's deadline passed"
        except asyncio.IncompleteReadError:
            why = "the answer broke off"
        except OSError as failure:
            why = f"the connection failed ({type(failure).__name__})"
        ended = time.monotonic()
        self.record.write(f"client gets {status if status is not None else why} for {attempt}")
        self.answers.append((attempt, sent, ended, status, why))
        return attempt, sent, ended, status, why


async def steady(client, rate, until, make):
    """Sends requests at a steady rate until a moment; `make` gives the arguments of each."""
    tasks = []
    while time.monotonic() < until():
        tasks.append(asyncio.create_task(client.request(**make())))
        await asyncio.sleep(random.uniform(0.5, 1.5) / rate)
    if tasks:
        await asyncio.gather(*tasks)
