"""A small deployment on loopback for the cases of this review.

Starts the project's own programs as separate processes, with the commands and
the settings' templates of the deploy file, and has stand-ins for runners,
clients and the operator. Standard library only.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

FRONT, READY, DIRECTORY, CONTROL = 8221, 8224, 8226, 8229
PORT_RANGE = (7600, 7615)

HOST = "frame.example"


class Record:
    """What was sent, answered and run, in record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def say(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def render(template, fields):
    """Fills in a template as the platform does, as far as the deploy file needs it."""

    def lookup(name, scope):
        if name == ".":
            return scope.get(".", "")
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                if part not in value:
                    return None
                value = value[part]
            else:
                return None
        return value

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return str(value)

    def section(match):
        name, body = match.group(1), match.group(2)
        value = lookup(name, fields)
        items = list(value.items()) if isinstance(value, dict) else list(enumerate(value or []))
        out = []
        for at, (key, item) in enumerate(items):
            comma = "," if at + 1 < len(items) else ""
            piece = body.replace("{{.}}", str(item)).replace("{{@}}", str(key))
            out.append(piece.replace("{{,}}", comma))
        return "".join(out)

    whole = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(lookup(m.group(1), fields)), whole)


class Way:
    """The network between some machines and one other: a relay that can be cut and healed.

    While it is cut nothing passes, in either direction, and nobody is told. What was written
    before or meanwhile arrives after the heal, unless its sender has reset the channel.
    """

    def __init__(self, ip, target):
        self.ip, self.target = ip, target
        self.whole = asyncio.Event()
        self.whole.set()

    async def start(self, ports):
        for port in ports:
            await asyncio.start_server(
                lambda reader, writer, port=port: self.relay(reader, writer, port), self.ip, port)

    async def relay(self, reader, writer, port):
        await self.whole.wait()
        try:
            there, back = await asyncio.open_connection(self.target, port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pass_on(reader, back), self.pass_on(there, writer))

    async def pass_on(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.whole.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, ConnectionError):
            writer.transport.abort()
        finally:
            writer.close()


class Bed:
    """Machines, each with an address of its own in 127.0.0.0/8."""

    def __init__(self, record, controls=3, entries=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="cranberrygap-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.last = 0
        self.processes = {}
        self.controls = [self.address() for _ in range(controls)]
        self.entries = [self.address() for _ in range(entries)]
        self.addresses = {}
        self.unreachable = set()

    def address(self):
        self.last += 1
        return f"{self.net}.{self.last}"

    def fields(self, ip, name, bootstrap):
        return {
            "node_name": name, "ip": ip, "zone": "a", "region": "r", "zones": {"a": "r"},
            "listen_addrs": {
                "front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}",
                "directory": f"{ip}:{DIRECTORY}", "control": f"{ip}:{CONTROL}",
            },
            "port_range": list(PORT_RANGE),
            "seeds": [f"{control}:{CONTROL}" for control in self.controls[:3]],
            "bootstrap": bootstrap, "fault_tolerance": {"machines": 1},
            "data_dir": os.path.join(self.folder, "data-" + name),
            "limits": {"memory_mb": 260}, "bounds": {"grace_s": 8},
        }

    def start(self, role, ip, name, bootstrap=True):
        plan = self.deploy["roles"][role]
        fields = self.fields(ip, name, bootstrap)
        os.makedirs(fields["data_dir"], exist_ok=True)
        with open(os.path.join(ROOT, plan["template"]), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        # A machine may reach another one by a way that the test can cut.
        for there, way in self.addresses.get(name, {}).items():
            settings = settings.replace(f"@{there}:{CONTROL}", f"@{way}:{CONTROL}")
        path = os.path.join(self.folder, name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        words = [path if word.endswith("node.conf") else word for word in plan["run"].split()]
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log)
        self.processes[name] = process
        return process

    def start_all(self):
        for number, ip in enumerate(self.controls, 1):
            self.start("control", ip, f"control-{number}")
        for number, ip in enumerate(self.entries, 1):
            self.start("entry", ip, f"entry-{number}")

    def send(self, name, sign):
        self.record.say(f"signal {signal.Signals(sign).name} to {name}")
        self.processes[name].send_signal(sign)

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8", errors="replace") as f:
            return f.read()

    def leader(self):
        """Name of the control process that leads, by the logs."""
        best = (0, None)
        for name in self.processes:
            for term in re.findall(r"leads in term (\d+)", self.log(name)):
                best = max(best, (int(term), name))
        return best[1]

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Message:
    """One HTTP message as it was read."""

    def __init__(self, first, headers, body, whole=True):
        self.first, self.headers, self.body, self.whole = first, headers, body, whole

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader, sink=None):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body
        body += piece
        if sink:
            sink(piece)


async def read_body(reader, headers, to_end=False, sink=None):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return await read_chunks(reader, sink)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


async def call(ip, port, method, path, headers=None, body=b"", timeout=5.0, sink=None):
    """One request on a channel of its own; None where no answer came."""

    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            known = {"Host": f"{ip}:{port}"}
            known.update(headers or {})
            if body or method == "POST":
                known["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in known.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, found = await read_head(reader)
            try:
                content = await read_body(reader, found, True, sink)
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return Message(first, found, b"", whole=False)
            return Message(first, found, content)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


async def call_control(bed, method, path, body=b"", patience=20.0):
    """A call of an operator or runner: any control process, following a 307 twice."""
    end = time.monotonic() + patience
    headers = {"Content-Type": "application/json"}
    while time.monotonic() < end:
        for ip in random.sample(bed.controls, len(bed.controls)):
            if ip in bed.unreachable:
                continue
            port = CONTROL
            for _hop in range(3):
                answer = await call(ip, port, method, path, headers, body, timeout=4.0)
                if answer is None or answer.status != 307:
                    break
                place = re.match(r"http://([\d.]+):(\d+)/", answer.headers.get("location", ""))
                if not place:
                    break
                ip, port = place.group(1), int(place.group(2))
            if answer is not None and (answer.status < 300 or answer.status in (400, 409, 422)):
                return answer
        await asyncio.sleep(0.2)
    return None


class Runner:
    """A runner that follows the pages: registers, runs, and says what it ran."""

    def __init__(self, bed, record, service, name=None, version="v1"):
        self.bed, self.record, self.service = bed, record, service
        self.id = name or f"i-{random.getrandbits(32):08x}"
        self.ip, self.port = bed.address(), 8080
        self.version, self.born, self.sequence = version, int(time.time() * 1000), 0
        self.state, self.ran, self.beating = "ready", [], None
        self.models, self.extra = [], {}

    def beat_body(self):
        self.sequence += 1
        beat = {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": "a",
            "version": self.version, "slots": 8, "state": self.state, "cold_left_ms": 0,
            "sequence": self.sequence, "born": self.born,
        }
        beat.update(self.extra)
        return json.dumps(beat).encode()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await call_control(
                self.bed, "POST", f"/api/Instances.Heartbeat/{self.id}", self.beat_body(), 1.0)
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.answer(first, headers, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def head(self, status, headers, request):
        stamp = f"{random.getrandbits(64):016x}"
        lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {request.get('x-request-id', '')}",
                 f"X-Server-Stamp: {stamp}"]
        return ("\r\n".join(lines + headers) + "\r\n\r\n").encode()

    async def answer(self, first, headers, body, writer):
        if headers.get("x-expect-instance", self.id) != self.id:
            head = ["X-Not-Run: 1", "Content-Length: 0"]
            writer.write(self.head("421 Misdirected Request", head, headers))
            await writer.drain()
            return True
        return await self.run(first, headers, body, writer)

    def note(self, first, headers, body=b""):
        request = headers.get("x-request-id", "-")
        self.ran.append((request, headers.get("x-tenant"), first))
        self.record.say(
            f"runner {self.id} runs {request}: {first}, tenant {headers.get('x-tenant')}, "
            f"{len(body)} bytes")

    async def run(self, first, headers, body, writer):
        self.note(first, headers, body)
        content = b"ok " + headers.get("x-request-id", "-").encode()
        head = [f"Content-Length: {len(content)}"]
        writer.write(self.head("200 OK", head, headers) + content)
        await writer.drain()
        return True


def route(name, prefix, kind, service, **more):
    found = {
        "name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 3000,
        "goal_ms": 300, "priority": 1, "service": service, "attempts": 2, "public": False,
        "sticky": False, "resumable": False,
    }
    found.update(more)
    return found


def service(name, **more):
    found = {"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1",
             "tls": False}
    found.update(more)
    return found


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


def tenant(name, keys, **more):
    found = {"name": name, "api_keys": keys, "priority": 1, "unit": "token_stream",
             "uncached_tokens": 200, "rate_per_s": 0, "burst": 0}
    found.update(more)
    return found


async def put(bed, record, config, patience=25.0):
    """Sends a configuration until it has a clear answer."""
    answer = await call_control(
        bed, "POST", "/api/Config.Replace", json.dumps(config).encode(), patience)
    status = answer.status if answer else "no answer"
    record.say(f"operator: config {config['version']} -> {status}")
    return answer


_numbers = iter(range(1, 10**9))


async def ask(bed, record, entry, method, path, key=None, body=b"", limit_ms=3000, more=None,
              timeout=None):
    """One request of a client."""
    request = f"{random.getrandbits(40):010x}{next(_numbers):06x}"
    headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": str(limit_ms)}
    if key:
        headers["X-Key"] = key
    headers.update(more or {})
    answer = await call(entry, FRONT, method, path, headers, body,
                        timeout or limit_ms / 1000 + 1)
    what = f"{answer.status}, whole {answer.whole}" if answer else "no answer"
    record.say(f"client: {method} {path} id {request} key {key} -> {what}")
    return request, answer


async def serve_until(bed, record, entry, path, key, wanted=200, patience=30.0):
    """Asks until an answer has the wanted status."""
    end = time.monotonic() + patience
    while time.monotonic() < end:
        _request, answer = await ask(bed, record, entry, "GET", path, key)
        if answer is not None and answer.status == wanted:
            return True
        await asyncio.sleep(0.3)
    return False


def main(folder, case):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    record.say(f"TROUBLE={int(TROUBLE)}")
    code = 2

    async def run():
        # Tasks of stand-ins that end with the case say nothing.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return await asyncio.wait_for(case(record), 115)

    try:
        code = asyncio.run(run())
    except BaseException as cause:  # pylint: disable=broad-except
        record.say(f"could not run: {cause!r}")
    record.say({0: "the rule held", 1: "the rule was BROKEN"}.get(code, "could not run"))
    os._exit(code)
