"""The part of HTTP/1.1 that the stand-ins need."""

import asyncio
import socket
import struct

REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Broken(Exception):
    """The connection ended inside a message."""


async def read_head(reader):
    """Start line and headers with names in lower case; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("ended inside a head") from error
        return None
    except OSError as error:
        raise Broken(repr(error)) from error
    start, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_chunks(reader):
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield data[:-2]
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        raise Broken(repr(error)) from error


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([piece async for piece in read_chunks(reader)])
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError) as error:
        raise Broken(repr(error)) from error


def message(start_line, headers, body=None):
    fields = dict(headers)
    if body is not None:
        fields["Content-Length"] = len(body)
    lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


def response(status, headers, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS[status]}", headers, body)


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
