/** The configuration of a small deployment, as the operator writes it. */

export const KEY = "jnbanfqasnmgkcuyj8pj";
export const HOST = "desk.example";

export function createRoute(fields) {
  return {
    host: HOST,
    kind: "idempotent",
    "timeout-ms": 1000,
    "latency-goal-ms": 124,
    priority: 2,
    "max-attempts": 2,
    anonymous: false,
    sticky: false,
    "can-resume": false,
    "allowed-regions": [],
    ...fields,
  };
}

/** A service of model workers, with the figures of the small site. */
export function createModelService(name, model) {
  return {
    ...{ name, "health-path": "/health", "max-conns": 294 },
    ...{ protocol: "h1", tls: false, "coldstart-s": 3, "coldstart-per-s": 28 },
    engine: {
      ...{ slots: 16, "kv-capacity": 317000, "kv-token-bytes": 262144 },
      ...{ "link-mbps": 400000, stride: 5, step_ms: 9.27, per_seq_ms: 0.0232 },
      models: [{ name: model, pace: 1, "load-s": 4, "warm-s": 0.3 }],
      ...{ "size-mb": 149000, context_per_k: 0.0322, read_per_s: 20700 },
      ...{ pairs_per_m: 1.18, chunk: 2048, report_lag_ms: 200 },
      ...{ usual: { prompt: 979, answer: 92 }, layers: 16, layer_mb: 4090 },
      ...{ chunks: 64, "chunk-bytes": 32768 },
    },
  };
}

export function createConfig({
  version = 1,
  routes,
  services,
  idleMs = 15000,
}) {
  return {
    version,
    routes,
    services: services.map((service) => ({
      ...(typeof service === "string" ? { name: service } : {}),
      "health-path": "/health",
      "max-conns": 96,
      protocol: "h1",
      tls: false,
      "coldstart-s": 0,
      "coldstart-per-s": 0,
      ...(typeof service === "string" ? {} : service),
    })),
    limits: {
      "max-header-bytes": 16384,
      "max-body-bytes": 4194304,
      "header-timeout-ms": 3000,
      "idle-timeout-ms": idleMs,
    },
    tenants: [{ name: "tenant-1", "api-keys": [KEY], "allowed-regions": [] }],
  };
}
