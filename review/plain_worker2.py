"""A worker of a plain service, as a process of its own: ID SERVICE ZONE LISTEN STORE_CONTROL FIRST_MS REST_MS BYTES UNFRAMED.

It registers itself and answers each request with BYTES bytes: half of them after FIRST_MS, the others REST_MS later. What it
runs is told on standard output in the form of the project's stand-ins. After SIGUSR1 it writes its entry no more, serves on for
2.6 s and exits.
"""

import asyncio
import hashlib
import json
import signal
import sys
import time
import urllib.request

ID, SERVICE, ZONE, LISTEN, STORE = sys.argv[1:6]
FIRST, REST, BYTES, UNFRAMED = int(sys.argv[6]), int(sys.argv[7]), int(sys.argv[8]), sys.argv[9] == "1"
BORN = int(time.time() * 1000)
running = 0


def note(what):
    print(json.dumps({"at": int(time.time() * 1e6), "id": ID, "born": BORN, "what": what}), flush=True)


def body_of(request):
    """The whole answer to a request, the same in every worker."""
    seed = hashlib.sha256(request.encode()).hexdigest()
    return (seed * (BYTES // len(seed) + 1))[:BYTES].encode()


async def serve(reader, writer):
    global running
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = {}
            for line in head[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            await reader.readexactly(int(headers.get("content-length", 0)))
            request = headers.get("attempt-id", "")
            target = headers.get("target-instance")
            if target and target != ID:
                writer.write(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {ID}\r\nContent-Length: 0\r\n\r\n".encode())
                await writer.drain()
                continue
            note({"began": {"request": request, "path": head[0]}})
            running += 1
            try:
                await asyncio.sleep(FIRST / 1000)
                body = body_of(request)
                answer = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nResponse-Seal: {ID}.{request}\r\nServer-Load: {running},0,6\r\n"
                answer += "Connection: close\r\n\r\n" if UNFRAMED else f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(answer.encode() + body[: len(body) // 2])
                await writer.drain()
                await asyncio.sleep(REST / 1000)
                writer.write(body[len(body) // 2 :])
                await writer.drain()
                note({"ended": {"request": request, "status": 200}})
            finally:
                running -= 1
            if UNFRAMED:
                return
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


def beat(seq):
    entry = {
        "service": SERVICE, "address": LISTEN, "zone": ZONE, "version": "v1", "slots": 6, "state": "ready",
        "coldRemainingMs": 0, "seq": seq,
    }
    url = f"http://{STORE}/keyed/keyed.servers/{ID}?lease=3600"
    request = urllib.request.Request(url, data=json.dumps(entry).encode(), method="PUT")
    urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=2).read()


async def main():
    host, port = LISTEN.rsplit(":", 1)
    server = await asyncio.start_server(serve, host, int(port))
    note({"listening": {"listen": LISTEN, "control": LISTEN}})
    leaves = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, leaves.set)
    seq = 0
    async with server:
        while not leaves.is_set():
            seq += 1
            try:
                await asyncio.to_thread(beat, seq)
            except OSError:
                pass
            try:
                await asyncio.wait_for(leaves.wait(), 1.2)
            except asyncio.TimeoutError:
                pass
        note("unlisted")
        await asyncio.sleep(2.6)
        note("exits")


asyncio.run(main())
