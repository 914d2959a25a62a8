"""A complete deployment on loopback, one process for each component, for failure tests."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import attrs
import gevent
from geventhttpclient import HTTPClient

from hickoryloom.clock import SystemClock
from hickoryloom.configuration import KeyRecord, issue_key, publish, read_documents, withdraw_key
from hickoryloom.http import JsonClient
from hickoryloom.keys import hash_key, new_key
from hickoryloom.store import PlatformClient
from tests.harness import Process, wait_until

CREDENTIAL = "test-credential"
PEER_SECRET = "test-peer-secret"
DOMAINS = ("huta-a", "huta-b", "sklad-c")

DOCUMENTS: dict[str, Any] = {
    "pools": {
        "assistant": {
            "kind": "engine",
            "model": "assistant",
            "slots": 4,
            "tokens_per_s": 50,
            "failure_domains": list(DOMAINS),
            "max_servers": 6,
        },
        "booking": {
            "kind": "service",
            "slots": 32,
            "failure_domains": list(DOMAINS),
            "max_servers": 3,
        },
    },
    "services": {
        "booking": {
            "pool": "booking",
            "routes": [
                {"method": "GET", "path": "/schedule", "idempotent": True},
                {"method": "GET", "path": "/hours", "idempotent": True, "open": True},
                {"method": "POST", "path": "/deposits"},
            ],
        }
    },
    "classes": {
        "guest": {"tier": 1, "first_token_ms": 1500, "token_gap_ms": 200, "reserve": 0.1},
        "draft": {"tier": 3, "first_token_ms": 5000, "token_gap_ms": 300, "reserve": 0.1},
    },
    "customers": {
        "studio": {"classes": ["guest", "draft"]},
        "museum": {"classes": ["draft"]},
    },
}


@attrs.frozen
class Reply:
    """A response as the caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def text(self) -> str:
        """Concatenated text of the streamed events."""
        return "".join(
            choice.get("delta", {}).get("content", "")
            for event in self.events
            for choice in event.get("choices", ())
        )

    @property
    def events(self) -> list[Any]:
        lines = [line[6:] for line in self.body.split(b"\n") if line.startswith(b"data: ")]
        return [json.loads(line) for line in lines if line != b"[DONE]"]

    @property
    def complete(self) -> bool:
        return self.body.rstrip().endswith(b"data: [DONE]")


def call(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 30.0, **headers: str
) -> Reply:
    """Make one call on a new connection.

    Headers are passed as keyword arguments, with underscores in place of hyphens.
    """
    host, _, port = address.rpartition(":")
    client = HTTPClient(host, int(port), connection_timeout=timeout_s, network_timeout=timeout_s)
    header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
    payload = body if isinstance(body, bytes) else b""
    if body is not None and not isinstance(body, bytes):
        payload = json.dumps(body).encode()
    try:
        response = client.request(method, path, payload, header_fields)
        response_headers = {name.lower(): value for name, value in response.items()}
        return Reply(response.status_code, response_headers, bytes(response.read()))
    finally:
        client.close()


class Site:
    """Starts processes that share one platform stand-in; `stop` kills all of them.

    Args:
        directory: Directory for logs, settings and ready files.
        documents: Configuration documents that `publish` publishes.
    """

    def __init__(self, directory: Path, documents: dict[str, Any] = DOCUMENTS) -> None:
        self.directory = directory
        self.documents = json.loads(json.dumps(documents))
        self.processes: list[Process] = []
        self.entries: list[Process] = []
        self.controls: list[Process] = []
        self.engines: list[Process] = []
        self.services: list[Process] = []
        self.addresses: dict[str, dict[str, str]] = {}
        self.platform = self.run("platform", "standin", "platform")
        self.platform_address = self.addresses["platform"]["address"]
        self.client = PlatformClient(self.platform_address, SystemClock())

    def run(self, name: str, *arguments: str) -> Process:
        """Start a process that accepts `--ready-file` and wait until it is ready."""
        process = self.launch(name, *arguments)
        self.addresses[name] = process.wait_ready()
        return process

    def launch(self, name: str, *arguments: str) -> Process:
        """Start a process that accepts `--ready-file`."""
        ready = str(self.directory / f"{name}.ready.json")
        process = Process(self.directory, name, [*arguments, "--ready-file", ready])
        self.processes.append(process)
        return process

    def add_engine(self, domain: str = DOMAINS[0], *options: str) -> str:
        """Start an engine stand-in of the pool `assistant` and return its name."""
        name = f"engine-{len(self.engines) + 1}"
        identity = ("--pool", "assistant", "--failure-domain", domain, "--id", name)
        common = ("--platform", self.platform_address, "--credential", CREDENTIAL)
        self.engines.append(
            self.run(name, "standin", "engine", *identity, *common, "--slots", "4", *options)
        )
        return name

    def add_service(self, domain: str = DOMAINS[0], *options: str) -> str:
        """Start a stand-in of the service `booking` and return its name."""
        name = f"booking-{len(self.services) + 1}"
        identity = ("--pool", "booking", "--failure-domain", domain, "--id", name)
        common = ("--platform", self.platform_address, "--credential", CREDENTIAL)
        self.services.append(self.run(name, "standin", "service", *identity, *common, *options))
        return name

    def publish(self) -> int:
        """Publish the documents and return the generation."""
        directory = self.directory / "documents"
        directory.mkdir(exist_ok=True)
        (directory / "hickoryloom.json").write_text(json.dumps(self.documents))
        return publish(self.client, read_documents(directory).unwrap()).unwrap()

    def issue_key(self, customer: str) -> str:
        """Issue a new key and return it."""
        key = new_key()
        record = KeyRecord(hash_key(key), customer, f"{customer}-{key[-6:]}", issued=True)
        issue_key(self.client, record).unwrap()
        return key

    def withdraw_key(self, key: str) -> int:
        """Withdraw a key and return the generation."""
        return withdraw_key(self.client, hash_key(key)).unwrap()

    def write_settings(self, name: str, **settings: Any) -> Path:
        """Write the settings file of one process and return its path."""
        document = {
            "instance": name,
            "failure_domain": DOMAINS[0],
            "platform": self.platform_address,
            "backend_credential": CREDENTIAL,
            "peer_secret": PEER_SECRET,
            "ready_file": str(self.directory / f"{name}.ready.json"),
            "drain_s": 0.5,
            "window_s": 2.0,
            **settings,
        }
        path = self.directory / f"{name}.settings.json"
        path.write_text(json.dumps(document))
        return path

    def add_entry(self, **settings: Any) -> str:
        """Start an entry and return its name."""
        name = f"entry-{len(self.entries) + 1}"
        self.entries.append(self._run_with_settings(name, "entry", settings))
        return name

    def add_control(self, **settings: Any) -> str:
        """Start a control process and return its name."""
        name = f"control-{len(self.controls) + 1}"
        self.controls.append(self._run_with_settings(name, "control", settings))
        return name

    def _run_with_settings(self, name: str, command: str, settings: dict[str, Any]) -> Process:
        path = self.write_settings(name, **settings)
        process = Process(self.directory, name, [command, "--settings", str(path)])
        self.processes.append(process)
        self.addresses[name] = process.wait_ready()
        return process

    def listen(self, entry: str) -> str:
        """Return the address on which an entry accepts requests of callers."""
        return self.addresses[entry]["listen"]

    def status(self, name: str) -> dict[str, Any]:
        """Return the status of an entry or control process."""
        admin = JsonClient(self.addresses[name]["admin"])
        answer = admin.call("GET", "/status").unwrap().body
        admin.close()
        return answer

    def wait_serving(self, *entries: str, servers: int = 1) -> None:
        """Wait until each entry is ready and knows `servers` backend servers in every pool."""
        for name in entries:
            wait_until(lambda name=name: self._is_serving(name, servers), what=f"{name} is serving")

    def _is_serving(self, name: str, servers: int) -> bool:
        status = self.status(name)
        pools = status["pools"]
        return status["ready"] and all(
            pool["backend_servers"] - pool["leaving"] >= servers for pool in pools.values()
        )

    def set_faults(self, name: str, **switches: Any) -> None:
        """Set the fault switches of a stand-in."""
        client = JsonClient(self.addresses[name]["address"])
        answer = client.call("POST", "/standin/faults", switches).unwrap()
        client.close()
        assert answer.status == 200, answer

    def ask(self, entry: str, key: str, **fields: Any) -> Reply:
        """Send a chat completion request to an entry; streaming by default."""
        headers = fields.pop("headers", {})
        body = {
            "model": "assistant",
            "stream": True,
            "max_tokens": 16,
            "messages": [{"role": "user", "content": "when is the furnace lit?"}],
            **fields,
        }
        return call(
            self.listen(entry),
            "POST",
            "/v1/chat/completions",
            body,
            Authorization=f"Bearer {key}",
            **headers,
        )

    def deposit(self, entry: str, key: str, idempotency_key: str, **fields: Any) -> Reply:
        """Book a deposit, which may run at most once."""
        return call(
            self.listen(entry),
            "POST",
            "/services/booking/deposits",
            {"bench": 3, **fields},
            Authorization=f"Bearer {key}",
            Idempotency_Key=idempotency_key,
        )

    def stop(self) -> None:
        """Kill all processes."""
        for process in reversed(self.processes):
            process.kill()


def start_site(directory: Path, entries: int = 2, **options: Any) -> Site:
    """Start a site with one engine in each failure domain, one service and `entries` entries."""
    site = Site(directory, **options)
    try:
        for domain in DOMAINS:
            site.add_engine(domain, "--token-ms", "5")
        site.add_service()
        site.publish()
        for _ in range(entries):
            site.add_entry()
        site.wait_serving(*(f"entry-{number + 1}" for number in range(entries)))
    except BaseException:
        site.stop()
        raise
    return site


def spawn_all(*calls: Any) -> list[Any]:
    """Run calls concurrently and return their values; raises the exception of a failed call."""
    tasks = [gevent.spawn(function) for function in calls]
    gevent.joinall(tasks)
    return [task.get() for task in tasks]
