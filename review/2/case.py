"""TWICE: a path that equals a longer prefix without its last slash gets the kind of the wrong route."""

import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import fleet as lib  # noqa: E402

# Share of the servers that lose answers, and share of the answers that they lose.
SERVERS, SHARE, X = 10, 0.6, 0.4
FOR_S, PER_S = 4.0, 20
UNSAFE, NESTED_SAFE = "/pufi791/", "/pufi791/neu/"
# Begins with the first prefix and not with the second one, which ends with a slash.
TARGET, OTHER_TARGET = "/pufi791/neu", "/pufi791/2f"


def case(make, record, trouble):
    fleet = make()
    losing = [False]

    def work(server, conn, arrival):
        time.sleep(0.05)
        if losing[0] and server.index < SERVERS * SHARE and random.random() < X:
            record(f"server {server.id} has run {arrival.id}, its answer is lost")
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            return None
        return lib.reply(200, arrival, server, [], b"confirmed")

    servers = [lib.Server(fleet, i, "forecast-svc", work) for i in range(SERVERS)]
    fleet.start()
    routes = [(UNSAFE, "unsafe", "forecast-svc", {}), (NESTED_SAFE, "safe", "forecast-svc", {"name": "r-neu"})]
    fleet.put(lib.config(7, routes, ["forecast-svc"]))
    for server in servers:
        server.start()
    fleet.wait("entries are ready", lambda: all(fleet.is_ready(i) for i in range(2)))
    time.sleep(5)
    client, threads = lib.Client(record), []
    losing[0] = trouble
    for number in range(int(FOR_S * PER_S)):
        target = TARGET if number % 2 else OTHER_TARGET
        entry = (number // 2) % 2
        args = (entry, fleet.entry_address(entry), "POST", target, 3_000, b"years=%d" % number)
        threads.append(threading.Thread(target=client.send, args=args))
        threads[-1].start()
        time.sleep(1 / PER_S)
    losing[0] = False
    for thread in threads:
        thread.join()
    runs = {}
    for server in servers:
        for arrival in server.arrivals:
            runs.setdefault((arrival.id, arrival.target), []).append(server.id)
    return [f"{i} {target} ran {len(ran)} times, at {ran}" for (i, target), ran in runs.items() if len(ran) > 1]


lib.run(HERE, case)
