"""Starts programs of the build on loopback and ends exactly those."""

import http.client
import json
import os
import shutil
import signal
import subprocess
import tempfile
import threading
import time

START_BOUND_S = 20
STOP_BOUND_S = 10
EXCHANGE_BOUND_S = 10


def exchange(address, method, target, body=None, headers=None, bound=EXCHANGE_BOUND_S):
    """One request on a connection of its own.

    Returns status, headers with lower-case names and the body as bytes; raises
    OSError or http.client.HTTPException if there is no complete answer.
    """
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=bound)
    try:
        data = body
        if body is not None and not isinstance(body, (bytes, str)):
            data = json.dumps(body)
        connection.request(method, target, body=data, headers=headers or {})
        response = connection.getresponse()
        content = response.read()
        names = {name.lower(): value for name, value in response.getheaders()}
        return response.status, names, content
    finally:
        connection.close()


def exchange_json(address, method, target, body=None, headers=None, bound=EXCHANGE_BOUND_S):
    """As exchange, for a JSON answer; returns status and document."""
    status, _, content = exchange(address, method, target, body, headers, bound)
    return status, json.loads(content)


class Process:
    """One child process and its log file."""

    def __init__(self, name, command, directory):
        self.name = name
        self.log_path = os.path.join(directory, name + ".log")
        self.log = open(self.log_path, "wb")
        self.child = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=self.log
        )
        self.lines = []
        self.line_arrived = threading.Condition()
        self.reader = threading.Thread(target=self._read_output, daemon=True)
        self.reader.start()

    def _read_output(self):
        for raw in self.child.stdout:
            self.log.write(raw)
            self.log.flush()
            with self.line_arrived:
                self.lines.append(raw.decode(errors="replace").rstrip("\n"))
                self.line_arrived.notify_all()

    def wait_for_line(self, prefix, bound=START_BOUND_S):
        """Rest of the first line of output that begins with `prefix`."""
        deadline = time.monotonic() + bound
        with self.line_arrived:
            while True:
                for line in self.lines:
                    if line.startswith(prefix):
                        return line[len(prefix):].strip()
                left = deadline - time.monotonic()
                if left <= 0 or self.child.poll() is not None:
                    raise RuntimeError(
                        f"{self.name} printed no line '{prefix}'; see {self.log_path}"
                    )
                self.line_arrived.wait(min(left, 0.1))

    def running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        """Ends the process at once, as a failed machine would."""
        self.signal(signal.SIGKILL)
        self.child.wait(STOP_BOUND_S)

    def stop(self):
        """Asks the process to end, and kills it if it does not."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(STOP_BOUND_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Standin(Process):
    """A stand-in and its control requests."""

    def __init__(self, name, program, command, options, directory):
        arguments = [program, command]
        for option, value in options.items():
            arguments += [f"--{option}", str(value)]
        self.executions_path = os.path.join(directory, name + ".executions")
        arguments += ["--executions", self.executions_path]
        self.options = options
        super().__init__(name, arguments, directory)
        self.address = self.wait_for_line("listening ")

    def switch(self, **switches):
        status, document = exchange_json(
            self.address, "PUT", "/v1/standin/switches", switches
        )
        if status != 200:
            raise RuntimeError(f"{self.name} refused {switches}: {document}")
        return document

    def record(self):
        """What it ran; also of a killed stand-in, from its file."""
        if self.running():
            return exchange_json(self.address, "GET", "/v1/standin/record")[1]
        with open(self.executions_path) as file:
            # The last line may have been cut short by the kill.
            lines = [line for line in file if line.endswith("\n")]
        executions = [json.loads(line) for line in lines]
        return {**self.options, "executions": executions}


class ProcessGroup:
    """The processes of one test; leaving the context ends all of them."""

    def __init__(self, build_dir):
        self.build_dir = build_dir
        self.keep_logs = False
        self.directory = tempfile.mkdtemp(prefix="qp-processes-")
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in self.processes:
            process.stop()
            process.child.stdout.close()
            process.reader.join(STOP_BOUND_S)
            process.log.close()
        if not any(failure) and not self.keep_logs:
            shutil.rmtree(self.directory, ignore_errors=True)

    def program(self, name):
        return os.path.join(self.build_dir, "packages", "apps", name)

    def standin(self, name, command, **options):
        dashed = {key.replace("_", "-"): value for key, value in options.items()}
        process = Standin(
            name, self.program("quetzalpost_standin"), command, dashed, self.directory
        )
        self.processes.append(process)
        return process

    def start(self, name, command):
        process = Process(name, command, self.directory)
        self.processes.append(process)
        return process
