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

export function createConfig({
  version = 1,
  routes,
  services,
  idleMs = 15000,
}) {
  return {
    version,
    routes,
    services: services.map((name) => ({
      name,
      "health-path": "/health",
      "max-conns": 96,
      protocol: "h1",
      tls: false,
      "coldstart-s": 0,
      "coldstart-per-s": 0,
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
