/**
 * A plain service for bookings: its configuration, and its workers, each a
 * process of its own that is started again when it ends and that writes its
 * entry into the store at its start and at each heartbeat.
 */

import { findFreePorts } from "./fleet.mjs";

const SERVICE = "order-ledger";
const HEARTBEAT_MS = 1_200;

export const HOST = "desk.example";
export const KEY = "key-1";
export const DEADLINE_MS = 1_023;

export const CONFIG = {
  version: 1,
  routes: [
    {
      name: "pay-book",
      host: HOST,
      prefix: "/book/",
      kind: "non_idempotent",
      "timeout-ms": 1_000,
      "latency-goal-ms": 124,
      priority: 2,
      service: SERVICE,
      "max-attempts": 2,
      anonymous: false,
      sticky: false,
      "can-resume": false,
      "allowed-regions": [],
    },
  ],
  services: [
    {
      name: SERVICE,
      "health-path": "/health",
      "max-conns": 96,
      "coldstart-s": 0,
      "coldstart-per-s": 0,
    },
  ],
  limits: {
    "max-header-bytes": 16_384,
    "max-body-bytes": 65_536,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
  },
  tenants: [{ name: "t1", "api-keys": [KEY], "allowed-regions": [] }],
};

/**
 * Starts workers from this file; `args` come after the id and the port. A
 * worker that ends is started again after `restartMs`, under its id.
 */
export async function startWorkers(options) {
  const { store, processes, record, file, args = [], onRun } = options;
  let isEnding = false;

  function superviseWorker(id, port) {
    const worker = { id, child: undefined };
    let bornMs;

    function register() {
      if (bornMs === undefined || isEnding) return;
      store.put(`servers/${id}`, {
        service: SERVICE,
        address: `127.0.0.1:${port}`,
        zone: "kol-a",
        version: "v1",
        slots: 6,
        state: "ready",
        "coldstart-ms": 0,
        seq: 0,
        born: bornMs,
      });
    }

    function start() {
      worker.child = processes.start(
        process.execPath,
        [file, id, String(port), ...args],
        { stdio: ["ignore", "inherit", "inherit", "ipc"] },
      );
      worker.child.on("message", (message) => {
        const { body, ...shown } = message;
        record(message.type, { ...shown, wholeBytes: body?.length });
        if (message.type === "run") return onRun(message);
        bornMs = message.bornMs;
        register();
      });
      worker.child.once("exit", () => {
        bornMs = undefined;
        record("worker ended", { id });
        if (isEnding) return;
        if (options.restartMs === 0) start();
        else setTimeout(start, options.restartMs);
      });
    }

    start();
    setInterval(register, HEARTBEAT_MS);
    return worker;
  }

  const ports = await findFreePorts(options.count);
  const workers = ports.map((port, index) =>
    superviseWorker(`i-${index + 1}`, port),
  );
  return { workers, end: () => (isEnding = true) };
}
