"""One backend of eight runs some orders and fails them with 503, without Not-Executed. The clients
rely on what 503 promises and send such an order again, with an id of its own."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f

GREY_SHARE_OF_REQUESTS = 0.45  # srv_grey x
GREY_S = 6.5                   # srv_grey for_s
SHOP = "shop.example"


class GreyBackend(f.Backend):
    """Healthy by its health check; while it is grey it fails a part of the requests that it ran."""

    grey = False
    random = random.Random(7)

    def serve(self, connection, method, target, fields):
        if target == "/health" or not self.grey or self.random.random() >= GREY_SHARE_OF_REQUESTS:
            return super().serve(connection, method, target, fields)
        attempt = fields.get("attempt-id", "")
        echo = [("Attempt-Id", attempt), self.load()]
        connection.read_body(fields)
        if fields.get("expected-instance") != self.ident:
            connection.send("HTTP/1.1 421 X", echo + [("Instance-Id", self.ident)])
            return True
        self.runs.append((f.now(), attempt, method, target, None))
        self.record("backend %s (%s) runs %s and answers 503 without Not-Executed" % (
            self.ident, self.service, attempt))
        time.sleep(self.work_s)
        connection.send("HTTP/1.1 503 X", echo + [("Server-Signature", "sig-" + self.ident)],
                        b"failed after the booking")
        return True


def case(fleet):
    for number in range(1, 8):
        fleet.backend("orderbook", "i-orderbook-%d" % number)
    grey = GreyBackend(fleet.store, fleet.record, "orderbook", "i-orderbook-8", "zone-a")
    fleet.backends.append(grey)
    fleet.configure(1, [f.route(SHOP, "/orders/", "unsafe", "orderbook")], ["orderbook"])
    instances = [fleet.instance("front-%d" % number) for number in range(1, 7)]
    for instance in instances:
        instance.start()
    for instance in instances:
        instance.wait_ready()
    time.sleep(1)

    sent = {}    # attempt -> (order, status)
    stop = threading.Event()

    def keep_ordering(number, instance):
        client = f.Client(fleet.record, instance)
        count = 0
        while not stop.is_set():
            count += 1
            order = "order-%d-%d" % (number, count)
            for _ in range(2):  # the client's one retry
                attempt, status, _, _ = client.send("POST", SHOP, "/orders/9", order.encode())
                sent[attempt] = (order, status)
                if status not in (429, 503):
                    break
                client.close()
            time.sleep(0.1)

    threads = [threading.Thread(target=keep_ordering, args=(number, instances[number % 6]))
               for number in range(12)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    grey.grey = fleet.trouble
    fleet.record("backend %s turns grey: %s" % (grey.ident, grey.grey))
    time.sleep(GREY_S)
    grey.grey = False
    time.sleep(1)
    stop.set()
    for thread in threads:
        thread.join()

    runs = {}
    for backend, (_, attempt, _, _, _) in fleet.runs():
        runs.setdefault(attempt, []).append(backend.ident)
    orders = {}
    for attempt, (order, _) in sent.items():
        orders[order] = orders.get(order, 0) + len(runs.get(attempt, []))
    twice = sum(1 for count in orders.values() if count > 1)
    fleet.record.say("orders %d, entered more than once %d" % (len(orders), twice))
    return ["REFUSED: %s (%s) is answered %s and ran at %s" % (attempt, order, status, runs[attempt])
            for attempt, (order, status) in sorted(sent.items())
            if status in (408, 421, 429, 503) and attempt in runs]


f.run(__file__, case)
