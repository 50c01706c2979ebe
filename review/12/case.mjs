/**
 * A gateway is stopped as planned. Streams that it has passed on before pause
 * for 1.5 s, as their workers preempt them, and would go on. The other workers
 * are full, and are slow to say so.
 */

import { createAttemptId, sendAttempt } from "../kit-3/caller.mjs";
import { findFreePorts, REGIONS, runCase, sleep } from "../kit-3/fleet.mjs";
import { startGateways, TROUBLE, waitUntilReady } from "../kit-3/fleet.mjs";
import { CONFIG, createEntry } from "../kit-3/model_service.mjs";
import { createSidecarValues } from "../kit-3/model_service.mjs";
import { createStreamCall } from "../kit-3/model_service.mjs";
import { startStore } from "../kit-3/store.mjs";
import { startStreamWorker, WHOLE_STREAM } from "../kit-3/stream_worker.mjs";

const WORKERS = 3;
const HEARTBEAT_MS = 1_200;
const STREAMS = 3;
const PREEMPTION = { afterEvent: 6, forMs: 1_500 };
/** A full worker answers after this time. */
const REJECTION = { afterMs: 250 };
/** From the start of the streams. */
const TERM_MS = 300;
const FULL_FROM_MS = 400;
const FULL_TO_MS = 4_500;
/** The grace is 8 s. */
const ROUND_MS = 9_500;

await runCase(import.meta.url, async ({ record, processes }) => {
  const store = await startStore();
  store.put("op/config", CONFIG);
  const workers = await Promise.all(
    Array.from({ length: WORKERS }, (_, index) =>
      startStreamWorker({ id: `i-${index + 1}`, record }),
    ),
  );

  function register() {
    workers.forEach((worker, index) =>
      store.put(`servers/${worker.id}`, createEntry({ ...worker, index })),
    );
  }

  register();
  setInterval(register, HEARTBEAT_MS);
  const gateways = await startGateways({
    processes,
    storeAddress: store.address,
    count: 3,
  });
  const ports = await findFreePorts(WORKERS * 2);
  workers.forEach(({ address }, index) =>
    processes.startRole(
      "sidecar",
      createSidecarValues({
        index,
        address,
        ports: ports.slice(index * 2, index * 2 + 2),
        seeds: gateways.map(({ control }) => control),
        zones: REGIONS,
      }),
    ),
  );
  await sleep(4_000);
  let lost = 0;

  async function callStream(gateway) {
    const attemptId = createAttemptId();
    record("sent", { attemptId, to: gateway.name });
    const call = { ...createStreamCall(attemptId), port: gateway.port };
    const { status, isComplete, error, body = "" } = await sendAttempt(call);
    const isWhole = status === 200 && body === WHOLE_STREAM;
    const events = body.split("\n\n").length - 1;
    const what = isComplete === true ? "answered" : "LOST";
    record(what, { attemptId, status, isWhole, isComplete, error, events });
    if (isComplete !== true) lost += 1;
  }

  async function playRound(gateway) {
    if (TROUBLE) {
      workers.forEach((worker) => worker.preempt(PREEMPTION));
      setTimeout(() => {
        record("SIGTERM", { to: gateway.name });
        gateway.child.kill("SIGTERM");
      }, TERM_MS);
      setTimeout(
        () => workers.forEach((worker) => worker.reject(REJECTION)),
        FULL_FROM_MS,
      );
      setTimeout(() => workers.forEach((w) => w.reject(undefined)), FULL_TO_MS);
    }
    const calls = [];
    for (let index = 0; index < STREAMS; index += 1) {
      calls.push(callStream(gateway));
      await sleep(30);
    }
    await Promise.all(calls);
    await sleep(TROUBLE ? ROUND_MS : 1_000);
    if (!TROUBLE) return;
    gateway.start();
    await waitUntilReady(gateway);
    await sleep(1_000);
  }

  for (const gateway of gateways) await playRound(gateway);
  workers.forEach((worker) => worker.close());
  store.close();
  return lost;
});
