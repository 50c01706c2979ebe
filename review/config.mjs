/** A small configuration in the form that the operator publishes. */

export const HOST = "desk.example";
export const API_KEY = "key-1";
export const SERVICE = "zinnia-pool";
export const MODEL = "m1";

const LIMITS = {
  "max-header-bytes": 16384,
  "max-body-bytes": 4194304,
  "header-timeout-ms": 3000,
  "idle-timeout-ms": 15000,
};

/** `chunks` pieces of weights at the origin, if there is one. */
export function createConfig({ version, origin, chunks, chunkBytes }) {
  return {
    version,
    routes: [
      {
        name: "festival-quote",
        host: HOST,
        prefix: "/quote/",
        kind: "stream",
        "timeout-ms": 6000,
        "latency-goal-ms": 500,
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
          "kv-capacity": 317000,
          stride: 5,
          models: [{ name: MODEL, "warm-s": 0.3 }],
          step_ms: 9.27,
          per_seq_ms: 0.0232,
          context_per_k: 0.0322,
          read_per_s: 20700,
          usual: { prompt: 1290, answer: 100 },
          chunks,
          "chunk-bytes": chunkBytes,
        },
      },
      ...(origin === undefined
        ? []
        : [
            {
              name: "donor-desk",
              origin,
              "link-mbps": 9.9,
              "max-conns": 48,
            },
          ]),
    ],
    limits: LIMITS,
    tenants: [{ name: "t1", "api-keys": [API_KEY], "allowed-regions": [] }],
  };
}

/** The entry of a worker in the store. */
export function createWorkerEntry({ address, version, born }) {
  return {
    service: SERVICE,
    address,
    zone: "kol-a",
    version: "v1",
    slots: 16,
    state: "ready",
    "coldstart-ms": 0,
    seq: 1,
    born,
    models: version === undefined ? [] : [{ name: MODEL, version }],
  };
}
