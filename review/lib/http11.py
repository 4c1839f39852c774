"""A small HTTP/1.1 reader and client for the stand-ins."""

import asyncio


class Message:
    """First line, headers and body of a request or an answer."""

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body

    def header(self, name):
        """Return the value of a header, an empty string without one."""
        for key, text in self.headers:
            if key.lower() == name.lower():
                return text
        return ''

    @property
    def status(self):
        """Status of an answer."""
        return int(self.line.split()[1])


async def read_message(reader, *, is_answer=False):
    """Read a message; raise `EOFError` if the channel ends first."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = [
        (name.strip(), text.strip())
        for name, _, text in (line.partition(':') for line in lines)
    ]
    message = Message(first, headers, b'')
    if message.header('transfer-encoding').lower() == 'chunked':
        message.body = await _read_chunks(reader)
    elif message.header('content-length'):
        length = int(message.header('content-length'))
        message.body = await reader.readexactly(length)
    elif is_answer and message.status not in {204, 304}:
        message.body = await reader.read()
    return message


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b''.join(parts)


def encode(line, headers, body=b''):
    """Return a message with its length."""
    lines = [line, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def connect(address, source=None):
    """Open a channel to ``ip:port``."""
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(
        host, int(port), local_addr=(source, 0) if source else None
    )


async def fetch(address, line, headers, body=b'', timeout_s=5.0):
    """Send one request on a new channel and return its answer.

    Returns None if no complete answer came.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await connect(address)
            writer.write(encode(f'{line} HTTP/1.1', headers, body))
            await writer.drain()
            return await read_message(reader, is_answer=True)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
