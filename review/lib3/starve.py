"""Ordinary requests to an entry machine, while other clients send it bodies of legal size.

The rule is CONFIG: "Some requests last longer than their route's `timeout_s`. Eight or more of them, and over a quarter,
have no final answer from machines in touch 0.5 s after it."
"""

import random
import subprocess
import sys
import threading
import time

import fleet

TIMEOUT_S, DEADLINE_S, PER_S = 1.0, 3.0, 20.0
# Callers of zone a; each keeps the addresses that it got for `ttl_s`, which is 2, some of them three times as long.
CALLERS, TTL_S, LONG_SHARE = 40, 2.0, 0.3


class Caller:
    """A caller of zone a with the address that it uses."""

    def __init__(self, system):
        self.system = system
        self.ttl = TTL_S * (3.0 if random.random() < LONG_SHARE else 1.0)
        self.until, self.address = 0.0, None
        self.lock = threading.Lock()

    def find(self):
        """The address that it uses now; asks the directory, nearest machine first, if the one that it has is too old."""
        with self.lock:
            if time.monotonic() > self.until:
                found = self.system.resolve("a")
                if found:
                    self.address = random.choice(found)
                    self.until = time.monotonic() + self.ttl * random.uniform(0.5, 1.0)
            return self.address


def play(record, uploads, watched_s):
    """Runs the commands `uploads(address)` beside the ordinary requests; returns whether the rule was kept."""
    system = fleet.Fleet(record, ["a", "b", "a"], ["a", "b"])
    try:
        return watch(system, record, uploads, watched_s)
    finally:
        system.stop()


def watch(system, record, uploads, watched_s):
    system.start()
    routes = [
        fleet.route("contrib-confirm", "/contrib/", "forecast", "unsafe", TIMEOUT_S, 0.5),
        fleet.route("document-send", "/upload/", "intake", "unsafe", 20.0, 5.0),
    ]
    operator = fleet.Operator(system, routes, [fleet.service("forecast"), fleet.service("intake")])
    operator.put()
    works = {"forecast": 0.4, "intake": 0.02}
    servers = [fleet.Server(system, name, zone, works[name]) for name in works for zone in "ab"]
    system.wait_ready()
    time.sleep(2.0)
    address = system.entries[0].address("front")
    callers = [Caller(system) for _ in range(CALLERS)]
    for caller in callers:
        caller.find()

    client = fleet.Client(record)
    is_over = threading.Event()
    took = []

    def request():
        used = random.choice(callers).find()
        sent = time.monotonic()
        client.send(used, "POST", "/contrib/x", DEADLINE_S, b"years=1")
        took.append(time.monotonic() - sent)

    def ordinary():
        while not is_over.is_set():
            threading.Thread(target=request, daemon=True).start()
            time.sleep(1.0 / PER_S)

    def ready():
        while not is_over.is_set():
            sent = record.now()
            result = system.is_ready(system.entries[0])
            record.line("for information: ready check sent at %.3f: %s" % (sent, "200" if result else "no 200 in 1 s"))
            time.sleep(1.0)

    threads = [threading.Thread(target=ordinary), threading.Thread(target=ready)]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    start = time.monotonic()
    # Other processes, so that they don't slow the ordinary client down.
    running = [subprocess.Popen(command, stdout=subprocess.PIPE, text=True, stdin=subprocess.DEVNULL)
               for command in uploads(address)]
    try:
        for process in running:
            for line in process.stdout:
                record.line("client of uploads: " + line.rstrip())
    finally:
        for process in running:
            process.kill()
            process.wait()
    time.sleep(max(0.0, watched_s - (time.monotonic() - start)))
    is_over.set()
    for thread in threads:
        thread.join()
    time.sleep(DEADLINE_S + 1.0)

    lasted = sum(1 for t in took if t > TIMEOUT_S)
    unanswered = sum(1 for t in took if t > TIMEOUT_S + 0.5)
    record.line("ordinary requests: %d, over timeout_s: %d, without an answer 0.5 s after it: %d, longest: %.2f s"
                % (len(took), lasted, unanswered, max(took)))
    ran = {ident for server in servers for _, ident, _, path in server.ran if path == "/contrib/x"}
    silent = sum(1 for _, ident, _, result in client.results if result == "no answer" and ident in ran)
    record.line("for information: orders that a server ran and that had no answer until the deadline: %d" % silent)
    return not (unanswered >= 8 and unanswered > lasted / 4)


def command(file, *args):
    """Runs a case's file as a client of uploads."""
    return [sys.executable, "-B", file, "upload"] + [str(a) for a in args]
