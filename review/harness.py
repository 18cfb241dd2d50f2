"""Shared parts of the scripts: processes, settings, a small HTTP client.

Starts the project's own programs as separate processes on loopback addresses. Everything lives in a temporary
folder, and all processes that were started are ended by their ids.
"""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# The command of deploy/system.toml, and the stand-ins that review/build.sh builds.
NODE = os.path.join(ROOT, "target/release/sesamegap-node")
STANDIN = os.path.join(ROOT, "target/debug/sesamegap-platform-standin")


# Bounds of the sheet of Desai Gridlink.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000,
    "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54,
    "recoveryS": 12, "transitMs": 120, "reuseWindowS": 10, "enforceFencing": True, "leaseMs": 3000, "thawMs": 300,
    "versionMs": 8000, "versionAllMs": 11000, "ttl_max_s": 5,
}


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, *words):
        with self.lock:
            text = " ".join(str(word) for word in words)
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


class Process:
    """A process that this script started."""

    def __init__(self, args, env=None, on_line=None, log=None):
        self.lines = []
        self.on_line = on_line
        pipe = subprocess.PIPE if on_line else open(log, "ab")
        err = open(log, "ab") if log else subprocess.DEVNULL
        self.child = subprocess.Popen(
            args, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=pipe, stderr=err
        )
        if on_line:
            threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.child.stdout:
            try:
                self.on_line(json.loads(line))
            except ValueError:
                pass

    def signal(self, number):
        self.child.send_signal(number)

    def end(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class World:
    """A small deployment: one store, engines, entry VMs."""

    def __init__(self, folder):
        for program in (NODE, STANDIN):
            if not os.path.exists(program):
                raise CannotRun(f"{program} is not built")
        self.record = Record(folder)
        self.temp = tempfile.TemporaryDirectory()
        self.processes = []
        self.seen = []
        self.net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        self.store = None
        self.nodes = {}
        self.bounds = {}
        self.loads_port = free_port("127.0.0.1")

    def path(self, name):
        return os.path.join(self.temp.name, name)

    def close(self):
        for process in self.processes:
            process.end()
        self.temp.cleanup()

    def start_standin(self, name, *args):
        """Starts a stand-in; returns its process and the addresses that it listens on."""
        ready = threading.Event()
        found = {}

        def on_line(line):
            what = line.get("what", {})
            if "listening" in what:
                found.update(what["listening"])
                ready.set()
            self.seen.append((name, line))
            if not {"append", "registered", "listening"} & set(what):
                self.record("stand-in", name, json.dumps(what))

        process = Process([STANDIN, *args], on_line=on_line, log=self.path(f"{name}.log"))
        self.processes.append(process)
        if not ready.wait(10):
            raise CannotRun(f"{name} does not start")
        return process, found["listen"], found["control"]

    def start_store(self):
        _, listen, control = self.start_standin("store", "store")
        self.store = listen
        self.control = control

    def put(self, key, value):
        """Writes an operator's record; the store's answer is the acknowledgement."""
        request = urllib.request.Request(
            f"http://{self.control}/keyed/keyed.op/{key}",
            data=json.dumps(value).encode(),
            method="PUT",
            headers={"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            answer.read()
        self.record("operator wrote", key, "version", value.get("version"))

    def boot(self, name, no):
        ip = f"{self.net}.{no}"
        listen = {k: f"{ip}:{free_port(ip)}" for k in ("front", "ready", "control", "directory")}
        last = free_port(ip)
        bounds = "\n".join(f"{key} = {json.dumps(value)}" for key, value in {**BOUNDS, **self.bounds}.items())
        text = f'''node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "zone-a"
region = "here"
portRange = [{self.loads_port},{last}]
seeds = {json.dumps([l["control"] for _, l in self.nodes.values()][:3])}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
zone-a = "here"
[listen]
front = "{listen["front"]}"
ready = "{listen["ready"]}"
control = "{listen["control"]}"
directory = "{listen["directory"]}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 110
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
{bounds}
[provider]
address = "{self.store}"
form = "log"
writesPerS = 400
readsPerS = 2000
'''
        path = self.path(f"{name}.toml")
        with open(path, "w") as file:
            file.write(text)
        return path, listen

    def start_node(self, name, no):
        path, listen = self.boot(name, no)
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.temp.name, "SESAMEGAP_BOOT": path}
        process = Process([NODE], env=env, log=self.path(f"{name}.log"))
        self.processes.append(process)
        self.nodes[name] = (process, listen)
        return process

    def wait_ready(self, name, patience=20):
        _, listen = self.nodes[name]
        until = time.monotonic() + patience
        while time.monotonic() < until:
            try:
                url = f"http://{listen['ready']}/sesamegap/readiness"
                with urllib.request.urlopen(url, timeout=1) as answer:
                    if answer.status == 200:
                        self.record("ready", name)
                        return
            except OSError:
                pass
            time.sleep(0.1)
        raise CannotRun(f"{name} is not ready")


class Answer:
    """An HTTP/1.1 answer as a caller sees it on its socket."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        # Whether the framing of HTTP says that the answer is whole.
        self.complete = False
        self.error = None

    def events(self):
        return [int(l[3:]) for l in self.body.decode(errors="replace").splitlines() if l.startswith("id:")]

    def __str__(self):
        return (f"status={self.status} complete={self.complete} error={self.error} "
                f"bytes={len(self.body)} seal={self.headers.get('response-seal')}")


def send(addr, method, path, host, headers, body=b"", patience=15.0, on_data=None):
    """Sends one request on a new connection and reads its answer."""
    answer = Answer()
    ip, port = addr.rsplit(":", 1)
    try:
        with socket.create_connection((ip, int(port)), timeout=1) as sock:
            sock.settimeout(patience)
            head = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
            head += [f"{name}: {value}" for name, value in headers.items()]
            sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            read_answer(sock.makefile("rb"), answer, on_data)
    except OSError as error:
        answer.error = str(error)
    return answer


def read_answer(stream, answer, on_data=None):
    line = stream.readline()
    if not line:
        answer.error = "closed without an answer"
        return
    answer.status = int(line.split()[1])
    while True:
        line = stream.readline().strip()
        if not line:
            break
        name, value = line.decode().split(":", 1)
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = stream.readline()
            if not size.endswith(b"\n"):
                answer.error = "closed within the answer"
                return
            size = int(size.split(b";")[0], 16)
            if size == 0:
                answer.complete = stream.readline() == b"\r\n"
                return
            part = stream.read(size)
            answer.body += part
            if len(part) < size or stream.read(2) != b"\r\n":
                answer.error = "closed within the answer"
                return
            if on_data:
                on_data(answer)
    length = int(answer.headers.get("content-length", 0))
    answer.body = stream.read(length)
    answer.complete = len(answer.body) == length


def main(folder, case):
    """Runs a case and exits as the issue says: 1 broken, 0 held, 2 could not run."""
    import sys
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = None
    try:
        world = World(folder)
        broken = case(world, trouble)
        world.record("rule broken" if broken else "rule held")
        code = 1 if broken else 0
    except CannotRun as error:
        print(f"cannot run: {error}", file=sys.stderr)
        code = 2
    finally:
        if world:
            world.close()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
