/**
 * Runs a fleet with a request that crashes each worker that begins to run it,
 * beside other bookings, and counts its retries as the rule does: its arrivals
 * at workers later than `contact-ms` after it has crashed the third.
 */

import { fileURLToPath } from "node:url";
import { createAttemptId, sendAttempt } from "./caller.mjs";
import { runCase, sleep, startGateways } from "./fleet.mjs";
import { CONFIG, DEADLINE_MS, HOST, KEY } from "./plain_service.mjs";
import { startWorkers } from "./plain_service.mjs";
import { startStore } from "./store.mjs";

const CRASHING_PATH = "/book/order-of-the-committee";
const WORKER_FILE = fileURLToPath(
  new URL("poisoned_worker.mjs", import.meta.url),
);
const WORKERS = 6;
/** "The worker is back after some seconds." */
const RESTART_MS = 3_000;
const BOOKINGS_PER_S = 20;
/** Bounds of the rule. */
const CONTACT_MS = 3_000;
const MAX_RETRIES = 3;
const CRASHES = 3;

/**
 * `play` sends the request with `sendCrashing(gateway)`; without
 * `crashesWorkers` it is one like the others. The rule is broken if it has more
 * than three retries.
 */
export function runCrashingRequest(caseUrl, options) {
  const { gatewayCount, crashesWorkers, play } = options;
  return runCase(caseUrl, async ({ record, processes }) => {
    const store = await startStore();
    store.put("op/config", CONFIG);
    const crashedAtMs = [];
    let retries = 0;
    let lostBookings = 0;
    const service = await startWorkers({
      ...{ store, processes, record, file: WORKER_FILE, count: WORKERS },
      restartMs: RESTART_MS,
      args: crashesWorkers ? [CRASHING_PATH] : [],
      onRun({ isCrash }) {
        if (!isCrash) return;
        const nowMs = performance.now();
        const thirdAtMs = crashedAtMs[CRASHES - 1] ?? Infinity;
        if (nowMs > thirdAtMs + CONTACT_MS) retries += 1;
        crashedAtMs.push(nowMs);
        record("crash", { crashes: crashedAtMs.length, retries });
      },
    });
    const gateways = await startGateways({
      processes,
      storeAddress: store.address,
      count: gatewayCount,
    });
    await sleep(1_000);

    async function send(path, gateway) {
      const attemptId = createAttemptId();
      record("sent", { attemptId, path, to: gateway.name });
      const { status, error } = await sendAttempt({
        port: gateway.port,
        attemptId,
        host: HOST,
        method: "POST",
        path,
        key: KEY,
        deadlineMs: DEADLINE_MS,
        body: '{"booking":"festival"}',
      });
      record("answered", { attemptId, path, status, error });
      if (path !== CRASHING_PATH && status !== 200) lostBookings += 1;
    }

    let sent = 0;
    const timer = setInterval(() => {
      const open = gateways.filter(({ isStopping }) => isStopping !== true);
      sent += 1;
      void send(`/book/${sent}`, open[sent % open.length]);
    }, 1_000 / BOOKINGS_PER_S);
    await play({
      gateways,
      record,
      sendCrashing: (gateway) => void send(CRASHING_PATH, gateway),
    });
    await sleep(2_000);
    clearInterval(timer);
    await sleep(1_500);
    service.end();
    store.close();
    record("seen", { crashes: crashedAtMs.length, retries, lostBookings });
    return retries > MAX_RETRIES ? 1 : 0;
  });
}
