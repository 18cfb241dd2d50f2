"""A small deployment on loopback for the cases 6 to 10: entry VMs, the project's stand-ins, proxies and callers.

Every process has an address of its own in 127.0.0.0/8, all ports are free ones, and all files are in a temporary folder.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NODE = ROOT / "target/release/sesamegap-node"
STANDIN = ROOT / "target/release/sesamegap-platform-standin"
ZONES = ["hall-a", "hall-b", "hall-c"]
HOST = "desk.example"
KEY = "key-of-the-desk-0123456789"
MODEL = "model-a"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be brought about; says nothing of the rule."""


class Record:
    """What was sent, answered and run, a line each, in record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_ports(ips, count):
    """Ports that are free at all addresses, for TCP and UDP."""
    found = []
    while len(found) < count:
        port = random.randint(20000, 31000)
        if port in found:
            continue
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    held.append(one)
                    one.bind((ip, port))
            found.append(port)
        except OSError:
            pass
        finally:
            for one in held:
                one.close()
    return found


class Site:
    """The processes of a case; all are ended with it."""

    def __init__(self, folder, vms=3):
        self.record = Record(folder)
        self.dir = tempfile.TemporaryDirectory(prefix="sesamegap-review-")
        net = random.randint(20, 250), random.randint(1, 250)
        self.net = f"127.{net[0]}.{net[1]}."
        self.vms = [self.net + str(10 + no) for no in range(vms)]
        self.front, self.ready, self.control, self.directory, low, high = free_ports(self.vms, 6)
        self.range = min(low, high), max(low, high)
        self.processes = {}
        self.records = []
        self.tasks = []
        self.listening = {}
        self.next_ip = 100
        self.store_api = None
        self.store_control = None

    def ip(self):
        self.next_ip += 1
        return self.net + str(self.next_ip)

    async def spawn(self, name, *command, records=False, env=None):
        log = open(Path(self.dir.name) / f"{name}.log", "ab")
        process = await asyncio.create_subprocess_exec(
            *map(str, command),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if records else log,
            stderr=log,
            env=env,
            limit=1 << 24,
        )
        log.close()
        self.processes[name] = process
        self.record(f"started {name} as process {process.pid}")
        if records:
            self.tasks.append(asyncio.ensure_future(self.read(name, process)))
            for _ in range(200):
                if name in self.listening:
                    break
                await asyncio.sleep(0.05)
            else:
                raise CannotRun(f"{name} does not listen")
        return process

    async def read(self, name, process):
        async for line in process.stdout:
            with contextlib.suppress(ValueError):
                seen = json.loads(line)
                self.records.append((name, seen))
                what = seen["what"]
                if isinstance(what, dict) and "listening" in what:
                    self.listening[name] = what["listening"]
                if isinstance(what, dict) and next(iter(what)) in ("began", "ended", "cut", "order", "loaded"):
                    self.record(f"{name}: {json.dumps(what)}")

    async def store(self, api=None):
        """The project's stand-in for the platform's store."""
        ip = self.ip()
        await self.spawn("store", STANDIN, "store", "--listen", f"{ip}:0", "--control", f"{ip}:0", records=True)
        self.store_api = self.listening["store"]["listen"]
        self.store_control = self.listening["store"]["control"]

    async def put(self, topic, key, value, lease=None):
        query = f"?lease={lease}" if lease else ""
        await self.call("PUT", self.store_control, f"/keyed/{topic}/{key}{query}", value)

    async def call(self, method, address, path, value=None):
        body = value if isinstance(value, bytes) else b"" if value is None else json.dumps(value).encode()
        request = urllib.request.Request(f"http://{address}{path}", data=body, method=method)
        request.add_header("content-type", "application/json")
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        return await asyncio.to_thread(lambda: opener.open(request, timeout=5).read())

    async def manifest(self, version, routes, services, **more):
        """Writes the operator's manifest."""
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        document = {"version": version, "routes": routes, "services": services, "limits": limits}
        document["tenants"] = [{"name": "desk", "apiKeys": [KEY], "isolated": False}]
        document.update(more)
        await self.put("keyed.op", "config", document)
        self.record(f"manifest {version} is acknowledged")

    def boot(self, no, store=None):
        """The settings file of a VM, with the fields and figures of the users' pages."""
        ip = self.vms[no]
        bounds = {
            "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000,
            "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000,
            "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54,
            "recoveryS": 12, "transitMs": 120, "reuseWindowS": 10, "enforceFencing": True, "leaseMs": 3000,
            "thawMs": 300, "versionMs": 8000, "versionAllMs": 11000, "ttl_max_s": 5,
        }
        provider = {
            "address": store or self.store_api, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 24,
            "appendMs": 1.0, "partMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152,
            "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
        }
        toml = lambda table: "".join(f"{key} = {json.dumps(value)}\n" for key, value in table.items())
        top = {
            "node": f"front-{ZONES[no % 3]}-{no}", "role": "entry", "machineClass": "front",
            "serves": ["front", "control", "directory"], "ip": ip, "zone": ZONES[no % 3], "region": "here",
            "portRange": list(self.range), "seeds": [f"{vm}:{self.control}" for vm in self.vms][:3],
            "bootstrap": True, "inFaultBudget": False, "discovery": "platform", "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"],
        }
        listen = {"front": self.front, "ready": self.ready, "control": self.control, "directory": self.directory}
        listen = {name: f"{ip}:{port}" for name, port in listen.items()}
        limits = {"cpuShare": 0.25, "cores": 1, "memoryMb": 110, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
        text = toml(top) + "[zones]\n" + toml({zone: "here" for zone in ZONES})
        for name, table in (("listen", listen), ("limits", limits), ("bounds", bounds), ("provider", provider)):
            text += f"[{name}]\n" + toml(table)
        path = Path(self.dir.name) / f"vm{no}.toml"
        path.write_text(text)
        return path

    async def vm(self, no, store=None):
        """Starts a VM's process with the command of the deploy file."""
        env = {"PATH": os.environ.get("PATH", ""), "SESAMEGAP_BOOT": str(self.boot(no, store))}
        return await self.spawn(f"vm{no}", NODE, env=env)

    async def until_ready(self, no, limit=15):
        """Waits for readiness as the platform asks for it."""
        ends = time.monotonic() + limit
        while time.monotonic() < ends:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await ask(self.vms[no], self.ready, "GET", "/sesamegap/readiness", {})
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"vm{no} is not ready")

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def began(self, request=None):
        """Runs that upstreams began: (upstream, what), of one request or all."""
        found = [(name, seen["what"]["began"]) for name, seen in self.records if isinstance(seen["what"], dict) and "began" in seen["what"]]
        return [one for one in found if request is None or one[1]["request"] == request]

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes.values():
            await process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for log in Path(self.dir.name).iterdir():
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.dir.cleanup()


def route(name, kind, service, timeout, target, attempts, resumable=False):
    """A route of the manifest."""
    found = {
        "name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout,
        "targetLatencyMs": target, "priority": 1, "service": service, "maxAttempts": attempts, "public": False,
        "sticky": kind == "streaming", "resumable": resumable,
    }
    if kind == "streaming":
        found["gapTargetMs"] = 500
    return found


def engines(name):
    """A service of model workers, with the figures of the users' sheet."""
    engine = {
        "slots": 128, "kvCapacityTokens": 82726, "kvTokenBytes": 131072, "linkMbps": 1100000.0, "moves": True,
        "backups": True, "stride": 4, "maxConcurrency": 12, "models": [{"name": MODEL}],
    }
    return {"name": name, "healthPath": "/health", "maxConnections": 620, "protocol": "h1", "tls": False, "engine": engine}


def plain(name):
    """A plain service."""
    return {"name": name, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": False}


class Answer:
    """An answer as a caller reads it."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        # Whether it ended as HTTP says that a whole answer must.
        self.whole = False

    def events(self):
        """Ids of the events that came."""
        found = []
        for event in self.body.decode(errors="replace").split("\n\n")[:-1]:
            for line in event.splitlines():
                if line.startswith("id:"):
                    found.append(int(line[3:]))
        return found


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_answer(reader, answer):
    """Reads an answer; one that breaks off stays not whole."""
    line, answer.headers = await read_head(reader)
    answer.status = int(line.split()[1])
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    answer.whole = True
                    return
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in answer.headers:
            left = int(answer.headers["content-length"])
            while left:
                some = await reader.read(min(left, 65536))
                if not some:
                    return
                answer.body += some
                left -= len(some)
            answer.whole = True


def encode(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def ask(ip, port, method, path, headers, body=b""):
    """Sends one request on a channel of its own and reads the answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    answer = Answer()
    try:
        headers = {"Host": HOST, **headers}
        writer.write(encode(method, path, headers, body))
        await read_answer(reader, answer)
    finally:
        writer.close()
    return answer


def request_id():
    return f"{random.getrandbits(64):016x}"


class Proxy:
    """The way to an upstream: carries bytes, ends and resets; single channels can go silent."""

    def __init__(self, site, name, ip):
        self.site, self.name, self.ip = site, name, ip
        self.target = None
        self.server = None
        self.channels = []
        self.delay = 0.0

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{self.ip}:{self.port}"

    def refuse(self):
        """From now on a new channel is refused, as by a machine on which nothing listens."""
        self.server.close()

    async def serve(self, reader, writer):
        try:
            host, port = self.target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        channel = Channel(reader, writer, far_reader, far_writer)
        self.channels.append(channel)
        await channel.run(self)
        self.channels.remove(channel)


def reset(writer):
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Channel:
    """One channel through a proxy."""

    def __init__(self, reader, writer, far_reader, far_writer):
        self.near, self.far = (reader, writer), (far_reader, far_writer)
        self.silent = False
        self.opened = time.monotonic()
        self.head = b""

    async def run(self, proxy):
        there = asyncio.ensure_future(self.copy(self.near[0], self.far[1], proxy, True))
        back = asyncio.ensure_future(self.copy(self.far[0], self.near[1], proxy, False))
        # The caller's end ends both; the upstream's end has been passed on.
        await asyncio.wait([there, back], return_when=asyncio.FIRST_COMPLETED)
        if self.silent:
            await there
        there.cancel()
        back.cancel()
        await asyncio.gather(there, back, return_exceptions=True)
        for writer in (self.near[1], self.far[1]):
            if not writer.transport.is_closing():
                writer.close()

    async def copy(self, reader, writer, proxy, is_request):
        try:
            while data := await reader.read(65536):
                if self.silent:
                    continue
                if is_request and len(self.head) < 4096:
                    self.head += data
                if proxy.delay:
                    await asyncio.sleep(proxy.delay)
                writer.write(data)
                await writer.drain()
            if self.silent and not is_request:
                # Nobody on the way knows the channel any more, so its end does not get through.
                await asyncio.Event().wait()
        except ConnectionError:
            if self.silent and not is_request:
                await asyncio.Event().wait()
            reset(writer)


class StoreWay:
    """One VM's way to the platform's store, which can turn this VM away with 503."""

    def __init__(self, site):
        self.site, self.ip, self.refuses, self.open_ways, self.refused = site, site.ip(), False, set(), 0

    async def open(self):
        server = await asyncio.start_server(self.serve, self.ip, 0)
        return f"{self.ip}:{server.sockets[0].getsockname()[1]}"

    def turn_away(self, refuses):
        """From now on each call of this VM gets 503, and the calls that wait get nothing more; or no longer."""
        self.refuses = refuses
        if refuses:
            for writer in list(self.open_ways):
                reset(writer)

    async def serve(self, reader, writer):
        self.open_ways.add(writer)
        far_writer = None
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.decode("latin-1").split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = await reader.readexactly(length)
                if self.refuses:
                    self.refused += 1
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                if far_writer is None:
                    host, port = self.site.store_api.rsplit(":", 1)
                    far_reader, far_writer = await asyncio.open_connection(host, int(port))
                far_writer.write(head + body)
                answer = await far_reader.readuntil(b"\r\n\r\n")
                # The users' pages know no such header.
                kept = [line for line in answer.split(b"\r\n") if not line.lower().startswith(b"store-era:")]
                answer = b"\r\n".join(kept)
                length, chunked = 0, False
                for line in answer.decode("latin-1").split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                    chunked |= line.lower().startswith("transfer-encoding:")
                if chunked:
                    raise CannotRun("the store answers in chunks")
                writer.write(answer + await far_reader.readexactly(length))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, RuntimeError):
            pass
        finally:
            self.open_ways.discard(writer)
            writer.close()
            if far_writer:
                far_writer.close()


async def engine(site, name, service, *more, proxy=False):
    """Starts a model worker; behind a proxy if wanted."""
    ip = site.ip()
    command = [STANDIN, "engine", "--id", name, "--service", service, "--zone", ZONES[len(site.processes) % 3]]
    command += ["--store", site.store_control, "--model", MODEL, "--listen", f"{ip}:0", "--control", f"{ip}:0", *more]
    way = None
    if proxy:
        way = Proxy(site, name, site.ip())
        command += ["--advertise", await way.open()]
    await site.spawn(name, *command, records=True)
    if way:
        way.target = site.listening[name]["listen"]
    return way


def finish(run):
    """Runs a case and exits as the issue says: 1 broken, 0 held, 2 could not run."""
    folder = Path(sys.argv[1])

    async def main():
        site = Site(folder)
        try:
            return await asyncio.wait_for(run(site), 110)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            site.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await site.close()

    sys.exit(asyncio.run(main()))
