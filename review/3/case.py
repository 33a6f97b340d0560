"""Clients cancel jobs whose submission got no clear answer before their deadline. The store
carries some writes out late. After a cancellation was answered, the job must not run."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from standin import play  # noqa: E402

JOBS = 300
SHARE = 0.35  # of the writes, as the sheet of the site sets it
LOST_S = 4.5  # how long writes are lost, from the sheet as well
LATE_S = (1.0, 6.0)  # "done 1 to 6 s later"
CONTACT_S = 4.0
CANCEL_S = 3.0
STOP_S = 0.4


async def client(deployment, number, cancelled):
    loop = asyncio.get_running_loop()
    job = f"{0x5c0e7a2100000000 + number:016x}"
    step = {"count": 1, "cpu": 100, "mem_mb": 50, "estimate_ms": 1000, "long_running": True}
    host = number % 3
    status, _ = await deployment.client(host, "POST", job, {"spec": '{"cpu": 100}', "steps": [step]})
    if status not in (0, 502, 504):
        return
    # The deadline is over: the client gives up, and cancels the job so that it doesn't run.
    while True:
        host = (host + 1) % 3
        status, _ = await deployment.client(host, "DELETE", job)
        if 200 <= status < 300 or status == 410:
            cancelled[job] = (loop.time(), status)
            return
        await asyncio.sleep(0.3)


async def case(deployment, trouble):
    loop = asyncio.get_running_loop()
    store, record = deployment.store, deployment.record
    draw = random.Random(30)
    begin = loop.time()

    def delay_txn(node, txn):
        if trouble and loop.time() < begin + LOST_S and draw.random() < SHARE:
            return draw.uniform(*LATE_S)
        return None

    store.delay_txn = delay_txn
    cancelled, clients = {}, []
    for number in range(JOBS):
        clients.append(asyncio.ensure_future(client(deployment, number, cancelled)))
        await asyncio.sleep(LOST_S / JOBS)
    await asyncio.gather(*clients)
    # The last late write, then a calm stretch of cancel_ms + stop_ms, and some seconds more.
    await asyncio.sleep(LATE_S[1] + CONTACT_S + CANCEL_S + STOP_S + 5)
    running = {t.split(".")[0]: r.name for r in deployment.runners for t in r.running}
    broken = False
    for job, (at, status) in sorted(cancelled.items()):
        if job in running:
            broken = True
            _, state = await deployment.client(0, "GET", job)
            record.add(f"UNASKED: {job} runs on {running[job]}, {loop.time() - at:.1f} s after its"
                       f" cancelling was answered {status}; it is shown as {state.get('state')}")
    kept = sum(job not in running for job in cancelled)
    record.add(f"{len(cancelled)} jobs cancelled, {kept} of them do not run, {len(running)} jobs run in all")
    return broken


play(case, HERE, hosts=3, runners=6)
