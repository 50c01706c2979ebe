/**
 * An entry is stopped as planned. Streams that it has passed on before pause for
 * a good second, as their workers preempt them, and would go on. The entry ends
 * them to send them elsewhere; the other workers are full.
 */

import {
  createConfig,
  createModelService,
  createRoute,
  HOST,
  KEY,
} from "../stand/config.mjs";
import {
  createAttemptId,
  send,
  sleep,
  waitUntilReady,
} from "../stand/client.mjs";
import { createFleet } from "../stand/fleet.mjs";
import { startRecord } from "../stand/record.mjs";
import { startStore } from "../stand/store.mjs";
import { startStreamWorker, WHOLE_STREAM } from "../stand/stream_worker.mjs";

const SERVICE = "zinnia-pool";
const MODEL = "daka510000";
const ROUNDS = 3;
const STREAMS = 3;
const LIMIT_MS = 6000;
const PAUSE_AFTER_EVENT = 6;
const PAUSE_MS = 1500;
/** From the start of the streams. */
const TERM_MS = 300;
const FULL_FROM_MS = 400;
const FULL_TO_MS = 4500;

const hasTrouble = process.env.TROUBLE !== "0";
const record = startRecord(import.meta.dirname);
const store = await startStore();
const fleet = createFleet({ storeAddress: store.address, record });
const workers = [];
let code = 2;
let whole = 0;
let cut = 0;

async function callStream(gateway) {
  const attempt = createAttemptId();
  record({ event: "sent", attempt, to: gateway.name });
  const { status, isWhole, body } = await send({
    address: gateway.callerAddress,
    host: HOST,
    path: "/draft/1",
    key: KEY,
    body: "draft a quotation",
    limitMs: LIMIT_MS,
    attempt,
    headers: {
      Model: MODEL,
      "Token-Usage": "1290,100",
      "Prompt-Prefix": `5c1e07a2:40,${attempt}:1250`,
    },
  });
  const isComplete = status === 200 && isWhole && body === WHOLE_STREAM;
  if (isComplete) whole += 1;
  else cut += 1;
  const events = body.split("\n\n").length - 1;
  record({ event: "answered", attempt, status, isWhole, events });
}

async function playRound(gateway) {
  if (hasTrouble) {
    workers.forEach((worker) => worker.preempt(PAUSE_AFTER_EVENT, PAUSE_MS));
    setTimeout(() => {
      record({ event: "SIGTERM", to: gateway.name });
      gateway.child.kill("SIGTERM");
    }, TERM_MS);
    setTimeout(() => workers.forEach((w) => w.setFull(true)), FULL_FROM_MS);
    setTimeout(() => workers.forEach((w) => w.setFull(false)), FULL_TO_MS);
  }
  const calls = [];
  for (let index = 0; index < STREAMS; index += 1) {
    calls.push(callStream(gateway));
    await sleep(30);
  }
  await Promise.all(calls);
  await sleep(9000);
  if (!hasTrouble) return;
  gateway.restart();
  await waitUntilReady(gateway.readyAddress);
  await sleep(1000);
}

try {
  const routes = [
    createRoute({
      name: "quote-draft",
      prefix: "/draft/",
      kind: "stream",
      service: SERVICE,
      "timeout-ms": LIMIT_MS,
      "latency-goal-ms": 402,
      "can-resume": true,
      "gap-target-ms": 400,
      sticky: true,
      priority: 1,
    }),
  ];
  const services = [createModelService(SERVICE, MODEL)];
  store.put("op/config", createConfig({ routes, services }));
  for (const zone of ["kol-a", "sil-a", "bdn-a"]) {
    const id = `w-${zone}`;
    workers.push(
      await startStreamWorker({
        ...{ store, id, service: SERVICE, model: MODEL, zone, record },
      }),
    );
  }
  const gateways = await fleet.startGateways(3);
  for (const { readyAddress } of gateways) {
    if (!(await waitUntilReady(readyAddress))) throw new Error("not ready");
  }
  await fleet.startSidecars(workers, SERVICE);
  await sleep(4000);
  for (const gateway of gateways.slice(0, ROUNDS)) await playRound(gateway);
  code = cut > 0 ? 1 : 0;
  record({ event: "verdict", cut, whole });
  console.log(`${cut} streams ended without a complete answer, ${whole} whole`);
} catch (error) {
  record({ event: "could not run", error: String(error) });
  console.error(error);
} finally {
  await fleet.close();
  workers.forEach((worker) => worker.close());
  store.close();
  await record.close();
}
process.exit(code);
