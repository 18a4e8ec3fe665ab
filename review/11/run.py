import os
import sys
import tempfile
import threading
import time

sys.path.insert(0, "../standins-3")
from standins import Backend, Client, Instance, Record, Store, configuration, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROLLBACK_SLACK_S = 0.25  # rollback_slack_ms
SERVICES = ["old-desk", "new-desk"]
OLD = [("orders", "/orders/", "unsafe", "old-desk", {})]
NEW = [("orders", "/orders/", "unsafe", "new-desk", {}),
       ("returns", "/returns/", "unsafe", "new-desk", {})]


def main():
    record = Record("record.txt")
    store = Store()
    runs = []  # (time, service, attempt id)
    lock = threading.Lock()

    def on_run(backend, attempt, handler):
        with lock:
            runs.append((now(), backend.service, attempt))

    for service in SERVICES:
        for i in range(2):
            Backend(store, record, f"i-{service}-{i}", service, "dyfed-a", on_run=on_run)
    store.write("op", "config", configuration(1, OLD, SERVICES))
    folder = tempfile.mkdtemp()
    instances = [Instance(folder, f"front-{i}", "dyfed-a", store.address) for i in range(3)]
    try:
        if not all([instance.wait_ready() for instance in instances]):
            return 2
        time.sleep(3)
        answers = []  # (time sent, instance, id, path, status)
        stopped = threading.Event()

        def traffic(instance, number):
            client = Client(record)
            client.random.seed(number)
            while not stopped.is_set():
                for path in ("/orders/1", "/returns/1"):
                    attempt, sent, status, _ = client.send(
                        instance, "POST", "shop.example", path, 2000, b"one lamp")
                    with lock:
                        answers.append((sent, instance.name, attempt, path, status))
                time.sleep(0.05)

        threads = [threading.Thread(target=traffic, args=(instance, number))
                   for number, instance in enumerate(instances)]
        for thread in threads:
            thread.start()
        time.sleep(2)
        store.copy()
        record.write("the platform makes a copy of the store")
        time.sleep(0.5)
        store.write("op", "config", configuration(2, NEW, SERVICES))
        record.write("the operator writes version 2, and the store acknowledges it")
        time.sleep(2.5)
        if TROUBLE:
            store.go_away()
            record.write("the store is away")
            time.sleep(1)
            store.restore()
            record.write("the store is back, from the copy, with the next era")
            time.sleep(1)
            store.write("op", "config", configuration(2, NEW, SERVICES))
            record.write("the operator writes version 2 again")
        else:
            time.sleep(2)
        time.sleep(4)
        stopped.set()
        for thread in threads:
            thread.join()
    finally:
        for instance in instances:
            instance.kill()

    with lock:
        service_of = {attempt: service for _, service, attempt in runs}
        time_of = {attempt: at for at, _, attempt in runs}
    broken = 0
    for instance in instances:
        seen = None  # when a backend first saw the effect of version 2 through this instance
        for sent, name, attempt, path, status in answers:
            if name != instance.name:
                continue
            if service_of.get(attempt) == "new-desk" and seen is None:
                seen = time_of[attempt]
                record.write(f"{name}: version 2 was seen at {seen:.3f}")
            if seen is None or sent <= seen + ROLLBACK_SLACK_S:
                continue
            if service_of.get(attempt) == "old-desk" or (path == "/returns/1" and status == 404):
                broken += 1
                record.write(f"RULE BROKEN: {attempt} {path}, sent to {name} at {sent:.3f}, was "
                             f"handled as version 1 says: {status}, {service_of.get(attempt)}")
        if seen is None:
            record.write(f"{instance.name}: version 2 was never seen")
            return 2
    record.write(f"{broken} of {len(answers)} requests were handled as only version 1 allows")
    print(f"{broken} of {len(answers)} requests were handled as only version 1 allows")
    return 1 if broken else 0


if __name__ == "__main__":
    code = main()
    os._exit(code)
