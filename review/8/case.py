"""A first configuration with version 0 is acknowledged and is lost."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import fleet as lib

SERVERS = 2
# Time for which the configuration is read back, and requests are sent.
READ_S = 15.0


def case(record, is_troubled):
    fleet = lib.Fleet(record, controls=3, entries=2)
    try:
        version = 0 if is_troubled else 1
        sent = lib.configuration(version, [lib.route("r-read", "/read/", "forecast")], ["forecast"])
        if fleet.put(sent) != 200:
            record("the configuration was refused, so it need not be in force")
            return True
        for n in range(SERVERS):
            fleet.add_server("forecast", n + 1)
        end = time.monotonic() + READ_S
        reads, served = [], []
        while time.monotonic() < end:
            for address in fleet.control_addresses():
                try:
                    status, body = lib.call(address, "GET", "/v1/config/get")
                except (OSError, ConnectionError, ValueError) as e:
                    status, body = 0, str(e).encode()
                is_same = status == 200 and json.loads(body) == sent
                record(f"operator: get at {address[0]}: {status}, as sent: {is_same}")
                reads.append(is_same)
            served.append(fleet.request(0, "/read/x")[0])
            time.sleep(1)
        record(f"reads: {len(reads)}, as sent: {sum(reads)}; requests: {len(served)}, served: {served.count(200)}")
        print(f"reads: {len(reads)}, as sent: {sum(reads)}; requests: {len(served)}, served: {served.count(200)}")
        return reads[-1] or any(reads[-3:])
    finally:
        fleet.stop()


if __name__ == "__main__":
    lib.main(case, __file__)
