"""Removes all routes by a configuration, and sends requests that no configuration allows then."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f

CONFIG_APPLY_S = 2.0  # config_apply_ms
SHOP = "shop.example"


def case(fleet):
    orders = f.route(SHOP, "/orders/", "unsafe", "orderbook")
    stock = f.route(SHOP, "/stock/", "safe", "stockroom")
    services = ["stockroom", "orderbook", "catalogue"]
    for service in services:
        for number in (1, 2):
            fleet.backend(service, "i-%s-%d" % (service, number))
    fleet.configure(1, [orders, stock], services)
    instances = [fleet.instance("front-%d" % number) for number in (1, 2)]
    for instance in instances:
        instance.start()
    for instance in instances:
        instance.wait_ready()
    clients = [f.Client(fleet.record, instance) for instance in instances]
    # The service to which a configuration ever allowed each path to go.
    allowed = {"/orders/": "orderbook", "/stock/": "stockroom"}
    sent = {}

    def ask(client, method, path, body=b""):
        attempt, status, _, at = client.send(method, SHOP, path, body)
        sent[attempt] = (path, at)
        return status

    for client in clients:
        if ask(client, "POST", "/orders/1", b"one lamp") != 200 or ask(client, "GET", "/stock/1") != 200:
            raise f.CannotRun("a request is not served before the change")

    # The disruption is a change of the configuration that removes the routes. Without it, a change
    # removes one of them.
    remaining = [] if fleet.trouble else [stock]
    acknowledged = fleet.configure(2, remaining, services)
    time.sleep(CONFIG_APPLY_S + 1)
    removed = ["/orders/"] + (["/stock/"] if fleet.trouble else [])
    for _ in range(5):
        for client in clients:
            ask(client, "POST", "/orders/2", b"two lamps")
            ask(client, "GET", "/stock/2")
            ask(client, "GET", "/never/configured")
        time.sleep(0.2)

    breaches = []
    for backend, (_, attempt, method, target, _) in fleet.runs():
        path, at = sent[attempt]
        prefix = "/" + path.split("/")[1] + "/"
        if allowed.get(prefix) != backend.service:
            breaches.append("ROUTE: %s %s (%s) ran at %s of %s, to which no configuration ever allowed"
                            " it to go" % (method, target, attempt, backend.ident, backend.service))
        elif prefix in removed and at > acknowledged + CONFIG_APPLY_S:
            fleet.record("also: %s ran with a dropped route %.1f s after the acknowledgement" % (
                attempt, at - acknowledged))
    return breaches


f.run(__file__, case)
