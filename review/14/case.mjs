/**
 * A gateway and a worker are stopped as planned. The worker sends its streams to
 * their ends, without a length, and exits.
 */

import { fileURLToPath } from "node:url";
import { createAttemptId, sendAttempt } from "../kit-3/caller.mjs";
import { findFreePorts, REGIONS, runCase, sleep } from "../kit-3/fleet.mjs";
import { startGateways, TROUBLE } from "../kit-3/fleet.mjs";
import { CONFIG, createEntry } from "../kit-3/model_service.mjs";
import { createSidecarValues } from "../kit-3/model_service.mjs";
import { createStreamCall } from "../kit-3/model_service.mjs";
import { startStore } from "../kit-3/store.mjs";

const WORKER_FILE = fileURLToPath(
  new URL("../kit-3/leaving_worker.mjs", import.meta.url),
);
const WORKERS = 12;
const HEARTBEAT_MS = 1_200;
const EVENTS = 20;
const STREAMS = 12;
/** From the start of the first stream. */
const STOP_MS = 700;
/** The grace is 8 s. */
const ROUND_MS = 9_500;

await runCase(import.meta.url, async ({ record, processes }) => {
  const store = await startStore();
  store.put("op/config", CONFIG);
  const ports = await findFreePorts(WORKERS * 3);
  /** Ids of the workers that run streams, the last one last. */
  let running = [];

  function startWorker(index) {
    const id = `i-${index + 1}`;
    const port = ports[index * 3];
    const worker = {
      id,
      address: `127.0.0.1:${port}`,
      bornMs: undefined,
      state: "ready",
      child: processes.start(process.execPath, [WORKER_FILE, id, `${port}`], {
        stdio: ["ignore", "inherit", "inherit", "ipc"],
      }),
      register() {
        if (worker.bornMs === undefined) return;
        store.put(`servers/${id}`, createEntry({ ...worker, index }));
      },
    };
    const timer = setInterval(worker.register, HEARTBEAT_MS);
    worker.child.on("message", (message) => {
      record(message.type, message);
      if (message.type === "run") running = [...running, id];
      if (message.type !== "serves") return;
      worker.bornMs = message.bornMs;
      worker.register();
    });
    worker.child.once("exit", () => {
      clearInterval(timer);
      worker.bornMs = undefined;
      store.remove(`servers/${id}`);
    });
    return worker;
  }

  const workers = Array.from({ length: WORKERS }, (_, index) =>
    startWorker(index),
  );
  const gateways = await startGateways({
    processes,
    storeAddress: store.address,
    count: 3,
  });
  workers.forEach(({ address }, index) =>
    processes.startRole(
      "sidecar",
      createSidecarValues({
        index,
        address,
        ports: ports.slice(index * 3 + 1, index * 3 + 3),
        seeds: gateways.map(({ control }) => control),
        zones: REGIONS,
      }),
    ),
  );
  await sleep(5_000);
  let lost = 0;

  async function callStream(gateway) {
    const attemptId = createAttemptId();
    record("sent", { attemptId, to: gateway.name });
    const call = { ...createStreamCall(attemptId), port: gateway.port };
    const { status, isComplete, error, body = "" } = await sendAttempt(call);
    const events = body.split("\n\n").length - 1;
    const isWhole = status === 200 && events === EVENTS;
    const what = isComplete === true ? "answered" : "LOST";
    record(what, { attemptId, status, isWhole, isComplete, error, events });
    if (isComplete !== true) lost += 1;
  }

  /** As the pages say: the entry says so first, and the worker goes on. */
  function stopWorker() {
    const worker = workers.find(({ id }) => id === running.at(-1));
    record("leaves", { id: worker?.id });
    if (worker === undefined) return;
    worker.state = "draining";
    worker.register();
    worker.child.send("leave");
  }

  function stopGateway(gateway) {
    record("SIGTERM", { to: gateway.name });
    gateway.child.kill("SIGTERM");
  }

  async function playRound(gateway) {
    running = [];
    if (TROUBLE) {
      setTimeout(() => stopGateway(gateway), STOP_MS);
      setTimeout(stopWorker, STOP_MS);
    }
    const calls = [];
    for (let stream = 0; stream < STREAMS; stream += 1) {
      calls.push(callStream(gateway));
      await sleep(30);
    }
    await Promise.all(calls);
    await sleep(TROUBLE ? ROUND_MS : 1_000);
  }

  for (const gateway of gateways) await playRound(gateway);
  store.close();
  return lost;
});
