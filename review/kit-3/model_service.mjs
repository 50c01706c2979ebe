/** The configuration of a service of model workers, and their entries. */

export const MODEL = "daka510000";
export const HOST = "desk.example";
export const KEY = "key-1";
export const LIMIT_MS = 6_000;
const SERVICE = "zinnia-pool";
const ZONES = ["kol-a", "sil-a", "bdn-a"];

export const CONFIG = {
  version: 1,
  routes: [
    {
      name: "festival-quote",
      host: HOST,
      prefix: "/draft/",
      kind: "stream",
      "timeout-ms": LIMIT_MS,
      "latency-goal-ms": 503,
      priority: 1,
      service: SERVICE,
      "max-attempts": 2,
      anonymous: false,
      sticky: true,
      "can-resume": true,
      "gap-target-ms": 400,
      "allowed-regions": [],
    },
  ],
  services: [
    {
      name: SERVICE,
      "health-path": "/health",
      "max-conns": 294,
      "coldstart-s": 3,
      "coldstart-per-s": 28,
      engine: {
        slots: 16,
        "kv-capacity": 317_000,
        stride: 5,
        models: [{ name: MODEL, pace: 1, "load-s": 4, "warm-s": 0.3 }],
        step_ms: 9.27,
        per_seq_ms: 0.0232,
        context_per_k: 0.0322,
        read_per_s: 20_700,
        pairs_per_m: 1.18,
        chunk: 2_048,
        report_lag_ms: 200,
        usual: { prompt: 900, answer: 90 },
        chunks: 64,
        "chunk-bytes": 32_768,
      },
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

/** The zone of a worker or sidecar, by its place in the list. */
export const zoneOf = (index) => ZONES[index % ZONES.length];

/** The entry of a worker in the store. */
export function createEntry({ address, bornMs, index, state = "ready" }) {
  return {
    service: SERVICE,
    address,
    zone: zoneOf(index),
    version: "v1",
    slots: 16,
    state,
    "coldstart-ms": 0,
    stage: "colocated",
    models: [{ name: MODEL, version: 1, adapters: [] }],
    seq: 0,
    born: bornMs,
  };
}

/** The settings of the sidecar beside a worker. */
export function createSidecarValues({ index, address, ports, seeds, zones }) {
  return {
    "node-name": `side-${index + 1}`,
    zone: zoneOf(index),
    zones,
    service: SERVICE,
    ip: "127.0.0.1",
    "port-range": ports,
    app: address,
    seeds,
    limits: { "link-mbps": 5.32 },
    bounds: { version_ms: 8_000 },
  };
}

/** What a client sends for a stream. */
export function createStreamCall(attemptId) {
  return {
    attemptId,
    host: HOST,
    method: "POST",
    path: "/draft/1",
    key: KEY,
    deadlineMs: LIMIT_MS,
    body: `draft a quotation for ${attemptId}`,
    headers: {
      Model: MODEL,
      "Token-Usage": "1290,100",
      "Prompt-Prefix": `5c1e07a2:40,${attemptId}:1250`,
    },
  };
}
