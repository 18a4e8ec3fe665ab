"""An instance that is stopped by plan exits while it passes an upload on to a backend."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import standins as s  # noqa: E402

HOST, PREFIX = "histories.example", "/histories/"
INSTANCES, CLIENTS = 6, 260
GRACE_S, GAP_S, LENGTH_S = 6.0, 1.3, 64
TIME_LIMIT_S = 1.2  # of the client and of the route
BODY_PIECES = 10
UPLOAD_S = 0.4  # a body of 60,000 bytes over a link of 1.2 Mbit/s


async def case(record, folder, started):
    store = s.Store()
    await store.listen()
    instances = [s.Instance(record, folder, f"front-a-{n}", store.port)
                 for n in range(1, INSTANCES + 1)]
    started.extend(instances)
    backends = []
    for n in range(12):
        backends.append(s.Backend(record, store, f"i-{n}", "lebenslauf", work_s=0.03))
        await backends[-1].listen()
        await backends[-1].register()
    await store.put("op", "config", s.config(
        1, [s.route("histories", HOST, PREFIX, "upload", "lebenslauf", 1200)], ["lebenslauf"]))
    for instance in instances:
        await instance.start()
    for instance in instances:
        await instance.ready()
    await asyncio.sleep(1)

    end = record.now() + LENGTH_S
    in_rotation = {instance.name for instance in instances}
    terminated = []  # (instance, time of the SIGTERM)
    unanswered = []
    answered = stops = number = 0
    chance = random.Random(28)

    async def client():
        """Keeps a connection, is idle on it for some seconds and uploads over a slow link."""
        nonlocal answered, number
        writer = None
        while record.now() < end:
            await asyncio.sleep(chance.uniform(1.0, 5.0))
            if writer is not None and reader.at_eof():
                writer.close()
                writer = None
            message = None
            attempt = None
            try:
                if writer is None:
                    ready = [i for i in instances if i.name in in_rotation]
                    if not ready:
                        continue
                    instance = chance.choice(ready)
                    reader, writer = await asyncio.open_connection(s.LOOPBACK, instance.caller)
                number += 1
                attempt = f"{number:016x}"
                began = record.now()
                writer.write(f"POST {PREFIX}{attempt} HTTP/1.1\r\nHost: {HOST}\r\n"
                             f"Attempt-Id: {attempt}\r\nRequest-Deadline: 1200\r\n"
                             f"X-Sent-To: {instance.name}\r\n"
                             "Content-Length: 60000\r\n\r\n".encode())
                for _ in range(BODY_PIECES):
                    if writer.is_closing() or reader.at_eof():
                        raise ConnectionError
                    writer.write(b"x" * (60000 // BODY_PIECES))
                    await asyncio.sleep(UPLOAD_S / BODY_PIECES)
                message = await asyncio.wait_for(s.read_message(reader), 1.2)
            except (OSError, asyncio.TimeoutError):
                pass
            if message is not None:
                answered += 1
                if message[1].get("connection") != "close":
                    continue
            elif attempt is not None:
                unanswered.append((attempt, instance.name, began, record.now()))
            if writer is not None:
                writer.close()
                writer = None

    async def rolling_restarts():
        nonlocal stops
        restarts = []

        async def restart(instance):
            in_rotation.discard(instance.name)
            terminated.append((instance.name, record.now()))
            instance.signal(signal.SIGTERM)
            await instance.ended()
            await asyncio.sleep(0.3)
            await instance.start()
            await instance.ready()
            in_rotation.add(instance.name)

        while record.now() < end - GRACE_S:
            for instance in instances:
                if instance.name in in_rotation:
                    stops += 1
                    restarts.append(asyncio.create_task(restart(instance)))
                await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts)

    tasks = [asyncio.create_task(client()) for _ in range(CLIENTS)]
    if s.TROUBLE:
        tasks.append(asyncio.create_task(rolling_restarts()))
    await asyncio.gather(*tasks)

    passed_on = {run[1]: run[0] for backend in backends for run in backend.runs}
    # As in the rule: from a SIGTERM of that instance until 1 s after grace_s, and not where the
    # time limit was reached.
    lost = []
    for attempt, name, began, ended in unanswered:
        stop = max((at for who, at in terminated if who == name and at < ended), default=None)
        if (attempt not in passed_on or stop is None or ended > stop + GRACE_S + 1
                or ended - began >= TIME_LIMIT_S):
            continue
        lost.append(attempt)
        record.say(f"upload {attempt} to {name}: SIGTERM at {stop:.3f}, begun at {began:.3f}, run "
                   f"by a backend at {passed_on[attempt]:.3f}, connection ended at {ended:.3f}")
    record.say(f"planned stops: {stops}; uploads answered: {answered}, not answered: "
               f"{len(unanswered)}, of these passed on to a backend: {len(lost)}")
    return bool(lost)


s.main(FOLDER, case)
