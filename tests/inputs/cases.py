"""Inputs of other parties that ended the processes of a node, kept them from their work or froze what they
believed. Each case is a coroutine that receives the running cluster and leaves the input where its writer
would."""
import asyncio
import json
import signal

LEVELS = 120_000  # within 262,144 bytes
NESTED = b"[" * LEVELS + b"]" * LEVELS
JOB = b"/grade/e0000000000000aa"
CASES = {}

WORKER = {"service": "desk", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
          "coldLeftMs": 0, "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0}, "labels": ["a", "r1-1"],
          "clockMs": 1, "sequence": 1, "born": 1_700_000_000_000}
ROUTE = {"name": "r-1", "host": "jobs.example", "pathPrefix": "/grade/", "kind": "non_idempotent",
         "timeoutMs": 3000, "completionTargetMs": 600, "priority": 0, "service": "desk", "maxAttempts": 2,
         "stretch": 1.6}


def case(function):
    CASES[function.__name__] = function
    return function


def nested_object(fields):
    """The fields with one more, which nobody reads, that is nested deeply."""
    return json.dumps(fields).encode()[:-1] + b',"x":' + NESTED + b"}"


async def post(cluster, body, deadline_ms=b"3000"):
    """@return status of the answer; 0 without one"""
    ip, port = cluster.nodes[0].addresses["front"].rsplit(":", 1)
    head = (b"POST " + JOB + b" HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\nDeadline-Ms: " + deadline_ms +
            b"\r\nContent-Type: application/json\r\nContent-Length: " + str(len(body)).encode() + b"\r\n\r\n")
    writer = None
    try:
        async with asyncio.timeout(10):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head + body)
            return int((await reader.readline()).split(b" ")[1])
    except (OSError, IndexError, asyncio.TimeoutError):
        return 0
    finally:
        if writer:
            writer.close()


async def expect_refusal(cluster, body):
    status = await post(cluster, body)
    return None if status == 400 else f"the submission is answered {status}, expected 400"


def leave_entry(cluster, value):
    cluster.store.put("keyed.servers", 0, [(b"i-odd", value)])


def answer_polls(cluster, content):
    """Makes the first worker answer every call with @p content."""
    async def handle(*_):
        return 200, content
    cluster.workers[0].http.handler = handle


# ---- Deep nesting: copying, writing out or reading a value followed it by recursion ----

@case
async def nested_worker_entry(cluster):
    leave_entry(cluster, nested_object(WORKER))


@case
async def nested_submission(cluster):
    return await expect_refusal(cluster, nested_object({"spec": "", "steps": [{"count": 1, "cpu": 1}]}))


@case
async def nested_configuration(cluster):
    cluster.store.put("keyed.op", 0, [(b"config", nested_object({"version": 9, "routes": [], "services": []}))])


@case
async def nested_wave(cluster):
    cluster.store.put("keyed.op", 0, [(b"wave/1", nested_object({"wave": 1, "machines": []}))])


@case
async def nested_poll_answer(cluster):
    answer_polls(cluster, nested_object({"clockMs": 1}))


@case
async def nested_end_of_a_run(cluster):
    answer_polls(cluster, b'{"clockMs":1,"running":[],"finished":[' + NESTED + b"]}")


@case
async def nested_answer_of_the_store(cluster):
    answer = cluster.store.http.handler
    spoiled = [0]

    async def handle(method, path, *rest):
        status, content = await answer(method, path, *rest)
        if path.endswith(("log-join", "log-owners", "log-newest")) and spoiled[0] < 40:
            spoiled[0] += 1
            return status, nested_object(json.loads(content))
        return status, content
    cluster.store.http.handler = handle


@case
async def nested_job_record(cluster):
    for part in range(8):
        cluster.store.put("keyed.jobs", part, [(b"e0000000000000bb", b"\x81" * 200_000 + b"\x00")])


@case
async def nested_list_of_hosts(cluster):
    async def handle(*_):
        return 200, nested_object({"machines": [], "nextToken": ""})
    cluster.hosts.http.handler = handle


@case
async def rows_of_hosts_with_other_types(cluster):
    async def handle(*_):
        return 200, b'{"machines":[5,null,{"machine":"m","capacity":null},{"machine":7,"labels":7}],"nextToken":5}'
    cluster.hosts.http.handler = handle


# ---- Numbers and addresses beyond their range ----

@case
async def numbers_of_a_worker_entry(cluster):
    for value in (1e300, -1e300, 2**64 - 1, -1, -2**63):
        leave_entry(cluster, json.dumps({**WORKER, "capacity": {"cpu": value, "memMb": value, "gpu": value}}).encode())
        leave_entry(cluster, json.dumps({**WORKER, "born": value}).encode())
        await asyncio.sleep(0.3)


@case
async def addresses_of_a_worker_entry(cluster):
    for address in ("127.0.0.1:70000", "127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1:0", ":", ":80",
                    "localhost:80", "no-such-host.invalid:80", "[::::1]:80", "127.0.0.1\r\nX: y:80", "1" * 100_000):
        leave_entry(cluster, json.dumps({**WORKER, "address": address}).encode())
        await asyncio.sleep(0.3)


@case
async def version_of_a_configuration(cluster):
    cluster.store.put("keyed.op", 0, [(b"config", json.dumps(
        {"version": 1e300, "routes": [], "services": []}).encode())])
    await asyncio.sleep(0.5)
    # A later configuration with an ordinary version has to come into force.
    cluster.version = 10
    cluster.publish([ROUTE], [("desk", False), ("other", False)])


@case
async def services_added_while_hosts_are_counted(cluster):
    """The duty that counts hosts waits for the frozen owner of some services while the operator adds others."""
    names = [("desk", False), ("other", False), ("third", False)]
    cluster.publish([ROUTE], names)
    await asyncio.sleep(1)
    for node in cluster.nodes:
        node.signal(signal.SIGSTOP)
        for _ in range(12):
            names.append((f"service-{len(names)}", False))
            cluster.publish([ROUTE], names)
            await asyncio.sleep(0.07)
        node.signal(signal.SIGCONT)
        await asyncio.sleep(2)


@case
async def bodies_of_many_megabytes(cluster):
    async def send(number):
        ip, port = cluster.nodes[0].addresses["front"].rsplit(":", 1)
        try:
            _, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"POST " + JOB + b" HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 60000000\r\n\r\n")
            for _ in range(600):
                writer.write(b"x" * 100_000)
                await asyncio.wait_for(writer.drain(), 2)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
    await asyncio.gather(*(send(number) for number in range(8)))


@case
async def clock_of_a_worker(cluster):
    answer_polls(cluster, b'{"clockMs":9223372036854775807,"running":[],"finished":[]}')


@case
async def numbers_of_a_worker(cluster):
    answer_polls(cluster, json.dumps(
        {"clockMs": 1e300, "born": 1e300, "running": [["e0000000000000aa.0.0.0", 1e300, "", 1e300, 1e300]],
         "finished": [[1e300, "e0000000000000aa.0.0.0", -5, "done", ""]]}).encode())


@case
async def numbers_of_a_submission(cluster):
    for step in ({"cpu": 1e300}, {"estimateMs": 1e300}, {"estimateMs": -1}, {"latencyTargetMs": 2**63},
                 {"dependsOn": [2**32]}, {"memMb": "much"}):
        problem = await expect_refusal(cluster, json.dumps({"spec": "", "steps": [{"count": 1}, step]}).encode())
        if problem:
            return f"{step}: {problem}"
    await post(cluster, b'{"spec":"","steps":[{"count":1,"cpu":1}]}', b"9223372036854775807")
    return None


# ---- Work without bound ----

@case
async def many_steps_with_many_tasks(cluster):
    steps = b",".join([b'{"count":10000}'] * 16_000)
    return await expect_refusal(cluster, b'{"spec":"","steps":[' + steps + b"]}")


@case
async def many_repeats_due_at_once(cluster):
    await post(cluster, b'{"spec":"","steps":[{"count":100,"cpu":100,"estimateMs":10}],'
                        b'"repeatCount":1000000,"firstMs":0,"intervalMs":0}')


@case
async def repeats_beyond_all_times(cluster):
    return await expect_refusal(cluster, b'{"spec":"","steps":[{"count":1,"cpu":1}],"repeatCount":1000000,'
                                         b'"firstMs":9e18,"intervalMs":9e18}')
