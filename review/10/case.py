"""Raises limits.body_bytes by a configuration, and sends uploads that it allows on connections that
were opened before."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f

CONFIG_APPLY_S = 2.0  # config_apply_ms
SHOP = "shop.example"
CLIENTS = 12
RAISED = 1000000  # body_bytes of version 2
SIZE = 400000     # of the uploads after it


def case(fleet):
    for number in (1, 2, 3):
        fleet.backend("catalogue", "i-catalogue-%d" % number, slots=4)
    routes = [f.route(SHOP, "/prices/", "upload", "catalogue")]
    # Without the disruption, the limit is the larger one from the beginning.
    before = 100000 if fleet.trouble else RAISED
    fleet.configure(1, routes, ["catalogue"], limits={"body_bytes": before})
    instances = [fleet.instance("front-%d" % number) for number in (1, 2)]
    for instance in instances:
        instance.start()
    for instance in instances:
        instance.wait_ready()
    time.sleep(1)

    # Clients open their connections, use them, and keep them.
    clients = [f.Client(fleet.record, instances[number % 2]) for number in range(CLIENTS)]
    for client in clients:
        if client.send("POST", SHOP, "/prices/1", b"p" * 50000)[1] != 200:
            raise f.CannotRun("an upload is not served before the change")

    acknowledged = fleet.configure(2, routes, ["catalogue"], limits={"body_bytes": RAISED})
    time.sleep(CONFIG_APPLY_S + 1)
    breaches = []
    for number, client in enumerate(clients):
        kept = client.connection is not None
        attempt, status, _, sent = client.send("POST", SHOP, "/prices/2", b"p" * SIZE)
        if status == 413 and sent > acknowledged + CONFIG_APPLY_S:
            breaches.append("CONFIG: upload %s of %d bytes, sent %.1f s after the acknowledgement of "
                            "version 2, which allows %d, is answered 413, as only version 1 (100000) "
                            "allows (kept connection: %s)" % (
                                attempt, SIZE, sent - acknowledged, RAISED, kept))
        fresh = f.Client(fleet.record, client.instance)
        if fresh.send("POST", SHOP, "/prices/3", b"p" * SIZE)[1] != 200:
            fleet.record("an upload on a new connection is not served")
    return breaches


f.run(__file__, case)
