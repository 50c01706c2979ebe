/**
 * A sidecar stands still for four seconds between its check of the staged
 * pieces and its order to load them. Meanwhile some pieces turn bad at the
 * worker. The order must not load them.
 */

import { listEventIds, readStatus, sendRequest } from "../client.mjs";
import { createConfig, createWorkerEntry, MODEL, SERVICE } from "../config.mjs";
import {
  createFleet,
  findFreePorts,
  isReady,
  sleep,
  waitFor,
} from "../fleet.mjs";
import { createRecord } from "../record.mjs";
import { startStore } from "../store.mjs";
import { PIECE_BYTES, PIECES, startOrigin } from "../weights.mjs";
import { startWorker } from "./worker.mjs";

const HAS_TROUBLE = process.env["TROUBLE"] !== "0";
/** The sidecar checks once after staging and once before the order. */
const CHECKS_BEFORE_ORDER = 2;
const FREEZE_MS = 4_000;
/** Six in a hundred of the 64 pieces. */
const BAD_PIECES = [3, 20, 41];
/** What turned bad later than this before the load is excused. */
const EXCUSED_MS = 3_000;
const REQUESTS = 5;
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

const record = createRecord(import.meta.url);

async function run(fleet, closers) {
  const [storePort, originPort, workerPort, ...others] = await findFreePorts(9);
  const store = await startStore(storePort);
  const origin = await startOrigin(originPort);
  closers.push(store, origin);
  let checks = 0;
  let sidecar;

  function freeze() {
    record(`the sidecar stands still (SIGSTOP) for ${FREEZE_MS} ms`);
    sidecar.child.kill("SIGSTOP");
    setTimeout(() => {
      BAD_PIECES.forEach(worker.spoil);
      record(`pieces ${BAD_PIECES.join(", ")} turn bad at the worker`);
    }, 200);
    setTimeout(() => {
      record("the sidecar goes on (SIGCONT)");
      sidecar.child.kill("SIGCONT");
    }, FREEZE_MS);
  }

  const worker = await startWorker({
    port: workerPort,
    record,
    onChecked(version, tookMs) {
      checks += 1;
      record(
        `the sidecar has read all ${PIECES} staged pieces of version ` +
          `${version} in ${Math.round(tookMs)} ms, all sound`,
      );
      const isDue = checks === CHECKS_BEFORE_ORDER;
      if (isDue && HAS_TROUBLE) setTimeout(freeze, 10);
    },
  });
  closers.push(worker);
  store.put(
    "op/config",
    createConfig({
      version: 1,
      origin: origin.address,
      chunks: PIECES,
      chunkBytes: PIECE_BYTES,
    }),
  );
  const publish = (version) =>
    store.put(`op/version/${MODEL}`, { model: MODEL, version });
  publish(1);
  store.put(
    `servers/${worker.id}`,
    createWorkerEntry({
      address: worker.address,
      version: 1,
      born: worker.born,
    }),
  );
  const seeds = [`127.0.0.1:${others[2]}`];
  const gateway = fleet.startGateway({
    name: "edge-kol-a-1",
    ports: others.slice(0, 4),
    storeAddress: store.address,
    seeds,
  });
  sidecar = fleet.startSidecar({
    name: "side-kol-a-1",
    ports: others.slice(4, 6),
    service: SERVICE,
    app: worker.address,
    seeds,
  });
  if (!(await waitFor(() => isReady(gateway), 15_000))) return COULD_NOT_RUN;
  await sleep(4_000);
  record("version 2 is named");
  publish(2);
  const isServed = await waitFor(() => worker.version() === 2, 30_000);
  if (!isServed || checks < CHECKS_BEFORE_ORDER) return COULD_NOT_RUN;
  await sleep(2_000);
  let answered = 0;
  for (let index = 1; index <= REQUESTS; index += 1) {
    const { text, end } = await sendRequest({
      port: gateway.front,
      id: `b${index}`,
    }).done;
    const events = listEventIds(text).length;
    record(
      `client of b${index}: status ${readStatus(text)}, ${events} events, ` +
        `channel ${end}`,
    );
    if (readStatus(text) === 200 && events > 0) answered += 1;
  }
  if (answered === 0) return COULD_NOT_RUN;
  const bad = worker.heldBad().filter((b) => b.badForMs > EXCUSED_MS);
  record(
    `${worker.badTokens.length} of ${answered} answers were made with layers ` +
      `from ${bad.length} pieces that had been bad for over 3 s`,
  );
  return bad.length > 0 && worker.badTokens.length > 0 ? BROKEN : HELD;
}

const fleet = createFleet();
const closers = [];
let code = COULD_NOT_RUN;
try {
  code = await run(fleet, closers);
} catch (error) {
  record(`failed: ${error.stack}`);
} finally {
  await fleet.close();
  closers.forEach((closer) => closer.close());
}
record(["WHOLE held", "WHOLE broken", "could not run"][code]);
process.exit(code);
