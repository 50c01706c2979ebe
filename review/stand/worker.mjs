/**
 * Starts a worker of a plain service and lists it in the store, as a worker does
 * itself. When its process ends it is back after `downMs`, as a new lifetime
 * with a new id at the same address, which is that of its link. Its entry goes
 * after three heartbeats.
 */

import { fork } from "node:child_process";
import { join } from "node:path";
import { startRelay } from "./relay.mjs";

const HEARTBEAT_MS = 1200;
const EXPIRY_MS = 3 * HEARTBEAT_MS;

export async function startWorker({
  store,
  name,
  service,
  zone,
  record,
  downMs,
  onEvent = () => undefined,
  behaviour = {},
}) {
  let lifetime = 0;
  let port = 0;
  let child;
  let beatTimer;
  let isClosed = false;
  const link = await startRelay();

  function open() {
    lifetime += 1;
    const id = `${name}-${lifetime}`;
    const bornMs = Date.now();
    let seq = 0;
    const beat = () => {
      seq += 1;
      store.put(`servers/${id}`, {
        service,
        address: `127.0.0.1:${link.port()}`,
        zone,
        version: "v1",
        slots: 6,
        state: "ready",
        "coldstart-ms": 0,
        born: bornMs,
        seq,
      });
    };
    const WORKER = JSON.stringify({ id, port, ...behaviour });
    child = fork(join(import.meta.dirname, "worker_process.mjs"), {
      env: { ...process.env, WORKER },
    });
    child.once("exit", () => {
      clearInterval(beatTimer);
      if (isClosed) return;
      record({ event: "worker ended", worker: id });
      link.onWorkerDown();
      setTimeout(() => store.remove(`servers/${id}`), EXPIRY_MS);
      setTimeout(() => !isClosed && void open(), downMs);
    });
    return new Promise((resolve) =>
      child.on("message", async (message) => {
        if (message.event !== "listening") {
          record(message);
          return onEvent(message, worker);
        }
        port = message.port;
        await link.onWorkerUp(port);
        beat();
        beatTimer = setInterval(beat, HEARTBEAT_MS);
        record({ event: "worker started", worker: id });
        resolve();
      }),
    );
  }

  const worker = {
    link,
    /** As at a crash: the kernel closes its channels. */
    kill: () => void child.kill("SIGKILL"),
    close() {
      isClosed = true;
      clearInterval(beatTimer);
      child.kill("SIGKILL");
      link.close();
    },
  };
  await open();
  return worker;
}
