/**
 * The entries' open channels to the store go silent, while new ones work. Once
 * all entries are in touch again, a worker leaves without a notice: its entry is
 * removed. Measured is how long after that requests still reach it.
 */

import { createServer } from "node:http";
import { createConfig, createRoute, HOST, KEY } from "../stand/config.mjs";
import {
  createAttemptId,
  send,
  sleep,
  waitUntilReady,
} from "../stand/client.mjs";
import { createFleet } from "../stand/fleet.mjs";
import { startRecord } from "../stand/record.mjs";
import { startSilentRelay } from "../stand/silent_relay.mjs";
import { startStore } from "../stand/store.mjs";

const SERVICE = "order-ledger";
const ZONES = ["kol-a", "sil-a", "bdn-a"];
const GATEWAYS = 4;
const ROUNDS = 15;
const CALL_INTERVAL_MS = 12;
const WORK_MS = 20;
/** `contact-ms` is 3,000. */
const IN_TOUCH_AFTER_MS = 3050;
const DRAIN_MS = 2000;
/** Delays of this process, which is no fast worker. */
const TOLERANCE_MS = 50;
/** For `drain-ms` and a little longer. */
const SERVES_ON_MS = 2800;
const PAUSE_MS = 200;

const hasTrouble = process.env.TROUBLE !== "0";
const record = startRecord(import.meta.dirname);
const store = await startStore();
const fleet = createFleet({ storeAddress: store.address, record });
const relays = [];
const workers = [];
const takenBy = new Map();
let lifetimes = 0;
let isOver = false;
let late = 0;
let lateRounds = 0;
let code = 2;

/** Lists a worker. Its entry changes only with more than `seq`, so never. */
async function addWorker(zone) {
  lifetimes += 1;
  const id = `i-${lifetimes}`;
  const arrivals = [];
  const server = createServer((request, response) => {
    request.resume();
    request.on("end", () => {
      const attempt = request.headers["attempt-id"];
      if (request.headers["expect-instance"] !== id) {
        const notRun = { "Not-Run": "1", "Attempt-Id": attempt };
        return response.writeHead(421, notRun).end();
      }
      arrivals.push({ attempt, atMs: performance.now() });
      setTimeout(() => {
        response.writeHead(200, {
          "Attempt-Id": attempt,
          "Response-Seal": `${id}.${attempt}`,
          "Server-Load": "1,0,6",
        });
        response.end(`done ${attempt}`);
      }, WORK_MS);
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  store.put(`servers/${id}`, {
    ...{ service: SERVICE, zone, version: "v1", slots: 6, state: "ready" },
    address: `127.0.0.1:${server.address().port}`,
    "coldstart-ms": 0,
    born: Date.now(),
    seq: 1,
  });
  record({ event: "worker listed", worker: id });
  const worker = {
    id,
    zone,
    arrivals,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
  workers.push(worker);
  return worker;
}

async function callSteadily(gateways) {
  for (let count = 0; !isOver; count += 1) {
    const { name, callerAddress } = gateways[count % gateways.length];
    const attempt = createAttemptId();
    takenBy.set(attempt, name);
    void send({
      address: callerAddress,
      host: HOST,
      path: `/stock/${count}`,
      key: KEY,
      attempt,
    });
    await sleep(CALL_INTERVAL_MS);
  }
}

async function playRound() {
  if (hasTrouble) {
    const channels = relays.map((relay) => relay.silence());
    record({ event: "open channels to the store are silent", channels });
  }
  await sleep(IN_TOUCH_AFTER_MS);
  const leaving = workers.shift();
  store.remove(`servers/${leaving.id}`);
  const ackMs = performance.now();
  record({ event: "entry removed and acknowledged", worker: leaving.id });
  await sleep(SERVES_ON_MS);
  const after = leaving.arrivals
    .map(({ attempt, atMs }) => ({
      attempt,
      takenBy: takenBy.get(attempt),
      afterAckMs: Math.round(atMs - ackMs),
    }))
    .filter(({ afterAckMs }) => afterAckMs > DRAIN_MS + TOLERANCE_MS);
  after.forEach((arrival) =>
    record({ event: "run too late", worker: leaving.id, ...arrival }),
  );
  const lastMs = Math.round((leaving.arrivals.at(-1)?.atMs ?? 0) - ackMs);
  record({ event: "worker left", worker: leaving.id, lastAfterAckMs: lastMs });
  late += after.length;
  if (after.length > 0) lateRounds += 1;
  leaving.close();
  await addWorker(leaving.zone);
  await sleep(PAUSE_MS);
}

try {
  const route = { name: "stock-check", prefix: "/stock/", service: SERVICE };
  const routes = [createRoute(route)];
  store.put("op/config", createConfig({ routes, services: [SERVICE] }));
  for (const zone of ZONES) await addWorker(zone);
  for (let count = 0; count < GATEWAYS; count += 1) {
    relays.push(await startSilentRelay(store.address));
  }
  const gateways = await fleet.startGateways(GATEWAYS, {
    storeAddresses: relays.map(({ address }) => address),
  });
  for (const { readyAddress } of gateways) {
    if (!(await waitUntilReady(readyAddress))) throw new Error("not ready");
  }
  const calls = callSteadily(gateways);
  await sleep(4000);
  for (let round = 0; round < ROUNDS; round += 1) await playRound();
  isOver = true;
  await calls;
  code = late > 0 ? 1 : 0;
  record({ event: "verdict", late, lateRounds, rounds: ROUNDS });
  console.log(
    `${late} requests reached a worker over ${DRAIN_MS} ms after the ack of ` +
      `its removal, in ${lateRounds} of ${ROUNDS} rounds`,
  );
} catch (error) {
  record({ event: "could not run", error: String(error) });
  console.error(error);
} finally {
  await fleet.close();
  [...workers, ...relays, store].forEach((item) => item.close());
  await record.close();
}
process.exit(code);
