"""An instance that is cut off from the store follows an instance that has restarted, and never
learns that a backend has left."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import standins as s  # noqa: E402

HOST, PREFIX = "orders.example", "/orders/"
DRAIN_S, CONTACT_S, CUT_S = 2.0, 3.0, 5.4
SERVES_ON_S = 15.0  # how long the leaving backend serves after its entry was removed


async def case(record, folder, started):
    store = s.Store()
    await store.listen()
    proxies = {}
    instances = {}
    for name in ("front-a-1", "front-a-2"):
        proxies[name] = s.Proxy(store.port)
        await proxies[name].listen()
        instances[name] = s.Instance(record, folder, name, proxies[name].port)
        started.append(instances[name])
    backends = {}
    for name in ("i-leaves", "i-stays-1", "i-stays-2"):
        backends[name] = s.Backend(record, store, name, "orderbook", work_s=0.29)
        await backends[name].listen()
        await backends[name].register()
    await store.put("op", "config", s.config(
        1, [s.route("orders", HOST, PREFIX, "unsafe", "orderbook", 1500)], ["orderbook"]))
    for instance in instances.values():
        await instance.start()
    for instance in instances.values():
        await instance.ready()
    await asyncio.sleep(4)

    # The root of the relay tree reads the store; the other instance receives the rows from it.
    followers = []
    for name, instance in instances.items():
        sources = [line for line in instance.log_path.read_text().splitlines()
                   if "name=directory-source" in line]
        if not sources[-1].endswith("source=store"):
            followers.append(name)
    record(f"instances that follow another one: {followers}")
    if len(followers) != 1:
        raise s.CannotRun("expected one root and one follower")
    follower = instances[followers[0]]
    root = next(i for i in instances.values() if i is not follower)

    answers = {}
    number = 0
    stop = False

    async def order(instance):
        nonlocal number
        number += 1
        attempt = f"{number:016x}"
        sent = record.now()
        status, _, _ = await s.call(instance.caller, HOST, "POST", f"{PREFIX}{number}", attempt,
                                    3000, instance.name, b"lamps=12")
        answers[attempt] = (sent, instance.name, status)
        record(f"order {attempt} sent at {sent:.3f} to {instance.name}: "
               f"{status or 'no answer'}")

    async def caller(instance):
        while not stop:
            if instance.process.returncode is None:
                await order(instance)
            await asyncio.sleep(0.1)

    callers = [asyncio.create_task(caller(i)) for i in instances.values() for _ in range(4)]
    await asyncio.sleep(3)

    leaving = backends["i-leaves"]
    if s.TROUBLE:
        root.signal(signal.SIGTERM)  # planned work
        await asyncio.sleep(2.6)
        record(f"{follower.name} is cut off from the store for {CUT_S} s")
        proxies[follower.name].cut()
        cut_at = record.now()
        await root.ended()
        await asyncio.sleep(0.1)
    else:
        await asyncio.sleep(3.3)
    await store.drop("servers", leaving.name)
    left_at = record.now()
    record(f"the store has acknowledged that {leaving.name} is gone; it serves on")
    await asyncio.sleep(1)
    in_touch_at = left_at
    if s.TROUBLE:
        await root.start()
        await asyncio.sleep(cut_at + CUT_S - record.now())
        proxies[follower.name].heal()
        record(f"{follower.name} reaches the store again")
        in_touch_at = record.now() + CONTACT_S
    await asyncio.sleep(left_at + SERVES_ON_S - record.now())
    cut_short = set(leaving.unfinished)
    leaving.stop()
    record(f"{leaving.name} ends, with {len(cut_short)} orders at work")
    await asyncio.sleep(3)
    stop = True
    await asyncio.gather(*callers)

    bound = max(left_at + DRAIN_S, in_touch_at)
    late = [run for run in leaving.runs if run[0] > bound and run[2] == follower.name
            and answers[run[1]][0] > in_touch_at]
    lost = [a for a in cut_short if answers.get(a, (0, "", 0))[2] != 200]
    record.say(f"orders sent to {follower.name} in touch: "
               f"{sum(1 for a in answers.values() if a[0] > bound and a[1] == follower.name)}")
    record.say(f"of these run by {leaving.name} more than {DRAIN_S} s after it had left: {len(late)}")
    record.say(f"orders at work there when it ended, without success for the caller: {len(lost)}")
    return bool(late)


s.main(FOLDER, case)
