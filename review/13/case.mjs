/**
 * Several callers ask about one new subject at once, so that their prompts share
 * a part. The answers of two of these requests are lost. The gateway takes the
 * part for one that crashes workers, and ends the streams of the others.
 */

import { Agent } from "node:http";
import { createAttemptId, sendAttempt } from "../kit-3/caller.mjs";
import { findFreePorts, REGIONS, runCase, sleep } from "../kit-3/fleet.mjs";
import { startGateways, TROUBLE } from "../kit-3/fleet.mjs";
import { CONFIG, createEntry, MODEL } from "../kit-3/model_service.mjs";
import { createSidecarValues } from "../kit-3/model_service.mjs";
import { createStreamCall } from "../kit-3/model_service.mjs";
import { startStore } from "../kit-3/store.mjs";
import { startSubjectWorker } from "../kit-3/subject_worker.mjs";

const WORKERS = 6;
const HEARTBEAT_MS = 1_200;
const COMMON_PART = "5c1e07a2:40";
/** Streams about other subjects, throughout. */
const OTHERS_PER_S = 24;
const OTHER_EVENTS = 4;
const WARM_UP_MS = 10_000;
const SUBJECTS = 5;
const SUBJECT_INTERVAL_MS = 4_000;
/** Events of the requests about a subject; the answers of the first are lost. */
const LOST_EVENTS = [1, 3];
const STREAM_EVENTS = [20, 20, 20, 20, 20];
/** Closed channels that the rule allows. */
const MAX_CLOSED = 3;

await runCase(import.meta.url, async ({ record, processes }) => {
  const store = await startStore();
  store.put("op/config", CONFIG);
  const plans = new Map();
  const workers = await Promise.all(
    Array.from({ length: WORKERS }, (_, index) =>
      startSubjectWorker({
        id: `i-${index + 1}`,
        model: MODEL,
        findPlan: (attemptId) => plans.get(attemptId),
        record,
      }),
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
    count: 2,
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
  const agents = gateways.map(() => new Agent({ keepAlive: true }));
  const counts = { sent: 0, lostAnswers: 0, closed: 0 };

  async function callStream(to, { subject, events, isLost = false }) {
    const attemptId = createAttemptId();
    plans.set(attemptId, { events, isLost });
    counts.sent += 1;
    if (isLost) counts.lostAnswers += 1;
    const { name, port } = gateways[to];
    record("sent", { attemptId, to: name, subject, events, isLost });
    const call = createStreamCall(attemptId);
    const parts = `${COMMON_PART},${subject}:800,${attemptId}:450`;
    const answer = await sendAttempt({
      ...call,
      port,
      agent: agents[to],
      headers: { ...call.headers, "Prompt-Prefix": parts },
    });
    const { status, isComplete, isKept, error, body = "" } = answer;
    const received = body.split("\n\n").length - 1;
    const isClosed = isKept === true && isComplete !== true && !isLost;
    const details = { attemptId, status, isComplete, isKept, error, received };
    record(isClosed ? "LOST" : "answered", details);
    if (isClosed) counts.closed += 1;
  }

  /** Keeps as many channels open as the requests about a subject need. */
  function warmUp(to) {
    const subject = createAttemptId();
    return [...LOST_EVENTS, ...STREAM_EVENTS].map(() =>
      callStream(to, { subject, events: OTHER_EVENTS }),
    );
  }

  const timer = setInterval(() => {
    const other = { subject: createAttemptId(), events: OTHER_EVENTS };
    void callStream(counts.sent % gateways.length, other);
  }, 1_000 / OTHERS_PER_S);
  await sleep(WARM_UP_MS);
  for (let index = 0; index < SUBJECTS; index += 1) {
    const to = index % gateways.length;
    await Promise.all(warmUp(to));
    const subject = createAttemptId();
    const requests = [
      ...LOST_EVENTS.map((events) => ({ events, isLost: TROUBLE })),
      ...STREAM_EVENTS.map((events) => ({ events })),
    ];
    await Promise.all([
      ...requests.map((next) => callStream(to, { subject, ...next })),
      sleep(SUBJECT_INTERVAL_MS),
    ]);
  }
  clearInterval(timer);
  await sleep(1_000);
  workers.forEach((worker) => worker.close());
  store.close();
  record("seen", counts);
  return counts.closed > MAX_CLOSED ? counts.closed : 0;
});
