"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it: one message at a time, bodies with a length
or in chunks."""

import asyncio
import json


class Message:
    """A request or an answer: its first line in three parts, its headers (lower case) and its body."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first_line[1])


async def read_message(reader):
    """Reads one whole message; returns None if the connection ends before its first byte.

    Raises asyncio.IncompleteReadError if it ends in the middle.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if not end.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    first_line = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first_line, headers, body)


def encode(first_line, headers, body=b""):
    """Encodes a message with a length."""
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, value=None, timeout=1.0, ip=None):
    """Makes one call with a JSON body on a connection of its own, from the address `ip` if one is given;
    returns (status, value).

    The status is None without an answer in time.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(
            *address, local_addr=(ip, 0) if ip else None)
        try:
            body = b"" if value is None else json.dumps(value).encode()
            headers = {"Host": f"{address[0]}:{address[1]}", "Content-Type": "application/json"}
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            answer = await read_message(reader)
            return answer
        finally:
            writer.close()

    try:
        answer = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, None
    if answer is None:
        return None, None
    return answer.status, json.loads(answer.body) if answer.body else None
