import os
import random
import sys
import tempfile
import threading
import time

sys.path.insert(0, "../standins-3")
from standins import (Backend, Client, Instance, Record, Store, configuration,  # noqa: E402
                      now, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
SHARE = 0.03  # of the answers of a faulty backend that are broken off or sent twice
SPELL_S, REST_S = 5.0, 1.0  # as long as one such disruption of the site file, and the pause after it
FAULTY, BACKENDS = 3, 5  # 0.6 of the backends of the service
DURATION_S = 60.0
CLIENTS = 8
LATEST_COPY_S = 0.15


class Garbling(Backend):
    """Answers with the id of the request in the body. A faulty one spoils some answers."""

    faulty = False

    def on_request(self, handler, body):
        if handler.path == "/health":
            super().on_request(handler, body)
            return
        attempt = handler.headers.get("Attempt-Id", "")
        time.sleep(RANDOM.uniform(0.0, 0.01))
        text = body_of(attempt)
        answer = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: sig.{attempt}\r\n"
                  f"Server-Load: {self.load()}\r\nContent-Length: {len(text)}\r\n\r\n"
                  f"{text}").encode()
        self.record.write(f"{self.name} runs {attempt} {handler.path}")
        spell = now() % (SPELL_S + REST_S) < SPELL_S
        if not (TROUBLE and self.faulty and spell and RANDOM.random() < SHARE):
            self.send(handler, answer)
        elif RANDOM.random() < 0.5:
            size = RANDOM.randrange(1, len(answer))
            self.record.write(f"{self.name} breaks {attempt} off after {size} of {len(answer)} bytes")
            self.send(handler, answer[:size])
        else:
            self.send(handler, answer)
            threading.Thread(target=self.send_again, args=(handler, attempt, answer),
                             daemon=True).start()

    def send_again(self, handler, attempt, answer):
        time.sleep(RANDOM.uniform(0.001, LATEST_COPY_S))
        self.record.write(f"{self.name} sends the answer of {attempt} again")
        self.send(handler, answer)

    @staticmethod
    def send(handler, data):
        try:
            handler.connection.sendall(data)
        except OSError:
            handler.close_connection = True


RANDOM = random.Random(SEED)


def body_of(attempt):
    return f"order {attempt} is entered"


def main():
    record = Record("record.txt")
    store = Store()
    for i in range(BACKENDS):
        backend = Garbling(store, record, f"i-{i}", "orderbook", "dyfed-a", slots=2)
        backend.faulty = i < FAULTY
    store.write("op", "config", configuration(
        1, [("orders", "/orders/", "unsafe", "orderbook", {"timeout_ms": 1000}),
            ("stock", "/stock/", "safe", "orderbook", {"timeout_ms": 1000})], ["orderbook"]))
    folder = tempfile.mkdtemp()
    instance = Instance(folder, "front-1", "dyfed-a", store.address)
    wrong = []
    counts = {}
    lock = threading.Lock()
    if not instance.wait_ready():
        return 2
    time.sleep(1)
    end = now() + DURATION_S

    def traffic(number):
        client = Client(record)
        client.random.seed(SEED * 100 + number)
        while now() < end:
            order = number % 4 != 0
            attempt, _, status, data = client.send(
                instance, "POST" if order else "GET", "shop.example",
                "/orders/1" if order else "/stock/1", 1000, b"one lamp" if order else None)
            with lock:
                counts[status] = counts.get(status, 0) + 1
                if status == 200 and data != body_of(attempt).encode():
                    wrong.append(attempt)
                    record.write(f"RULE BROKEN: the client of {attempt} got 200 with {data!r}")

    threads = [threading.Thread(target=traffic, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    text = f"{len(wrong)} successes with the bytes of another answer; statuses: {counts}"
    record.write(text)
    print(text)
    return 1 if wrong else 0


if __name__ == "__main__":
    run_case(main)
