"""A faulty backend sends its rejection twice; the second copy is taken for the answer to the next
attempt of the same order, which the backend runs."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import standins as s  # noqa: E402

HOST, PREFIX = "orders.example", "/orders/"
EXTRA_SHARE = 0.03  # of the answers of the backend; the dose of `garble` with "extra late"
SPELL_S, PAUSE_S = 5.0, 0.5  # length of one such disruption, and the time to the next one
LENGTH_S = 44


class ExtraBackend(s.Backend):
    """Sends a share of its answers a second time, late: where the next answer on that connection
    is expected."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.random = random.Random(28)
        self.extra_rejections = 0

    async def connection(self, reader, writer):
        extra = b""
        while (message := await s.read_message(reader)) is not None:
            if extra:
                writer.write(extra)
                extra = b""
            answer = await self.on_request(*message)
            writer.write(answer)
            await writer.drain()
            is_health = " /health " in message[0]
            garbles = s.TROUBLE and self.record.now() % (SPELL_S + PAUSE_S) < SPELL_S
            if garbles and not is_health and self.random.random() < EXTRA_SHARE:
                extra = answer
                if b"Not-Executed" in answer:
                    self.extra_rejections += 1
                    self.record(f"{self.name} will repeat its rejection of "
                                f"{message[1]['attempt-id']}")


async def case(record, folder, started):
    store = s.Store()
    await store.listen()
    instances = [s.Instance(record, folder, f"front-a-{n}", store.port) for n in range(1, 9)]
    started.extend(instances)
    backend = ExtraBackend(record, store, "i-only", "orderbook", slots=2, queue=2, work_s=0.06,
                           load_header=False)
    await backend.listen()
    await backend.register()
    await store.put("op", "config", s.config(
        1, [s.route("orders", HOST, PREFIX, "unsafe", "orderbook", 1500)], ["orderbook"]))
    for instance in instances:
        await instance.start()
    for instance in instances:
        await instance.ready()

    answers = {}
    attempts = {}  # of each order
    number = 0
    end = record.now() + LENGTH_S

    async def send(instance, order):
        nonlocal number
        number += 1
        attempt = f"{number:016x}"
        status, headers, _ = await s.call(instance.caller, HOST, "POST", f"{PREFIX}{order}",
                                          attempt, 3000, instance.name, b"lamps=12")
        answers[attempt] = status
        attempts.setdefault(order, []).append(attempt)
        record(f"order {order} attempt {attempt} sent to {instance.name}: "
               f"{status or 'no answer'}")
        return status, headers

    async def caller(instance, first_order):
        order = first_order
        while record.now() < end:
            order += 1
            status, headers = await send(instance, order)
            if status == 503:  # a promise: not run, and never will be
                await asyncio.sleep(min(1.0, float(headers.get("retry-after", "1"))))
                await send(instance, order)
            await asyncio.sleep(0.02)

    await asyncio.gather(*(caller(instance, 10000 * n) for n, instance in enumerate(instances, 1)))
    await asyncio.sleep(2)

    runs = {}
    for _, attempt, _ in backend.runs:
        runs[attempt] = runs.get(attempt, 0) + 1
    refused = [a for a, status in answers.items() if status in (408, 421, 429, 503) and a in runs]
    twice = [a for a, count in runs.items() if count > 1]
    count = {}
    for status in answers.values():
        count[status] = count.get(status, 0) + 1
    record.say(f"orders by answer: {dict(sorted(count.items()))}; "
               f"rejections sent twice: {backend.extra_rejections}")
    record.say(f"orders answered 503 that have run: {len(refused)} {refused[:5]}")
    record.say(f"orders that ran twice: {len(twice)} {twice[:5]}")
    double = [o for o, sent in attempts.items() if sum(a in runs for a in sent) > 1]
    record.say(f"orders entered twice, as the caller repeated them after a 503: {len(double)}")
    return bool(refused or twice)


s.main(FOLDER, case)
