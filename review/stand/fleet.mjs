/**
 * Starts the project's own programs as separate processes, with the commands of
 * the deploy file and settings like those that its templates give.
 */

import { spawn } from "node:child_process";
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const ROOT = join(import.meta.dirname, "..", "..");
const ZONES = { "kol-a": "kolkata", "sil-a": "siliguri", "bdn-a": "bardhaman" };

/** The bounds of the small site. */
const BOUNDS = {
  revoke_ms: 5000,
  is_revocation_strict: true,
  budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra: 100,
  cold_overage: 1.5,
  cold_slack: 5,
  version_ms: 8000,
  grace_s: 8,
};

/**
 * Below the usual range of outgoing channels, one of which could else take a
 * port before the program for which it was found listens there.
 */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;

/** Resolves with a server that holds the port, or undefined. */
function hold(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}

export async function findPorts(count) {
  const servers = [];
  while (servers.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    const server = await hold(port);
    if (server !== undefined) servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** The words of a role's command in the deploy file. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1].split("\n[")[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

function toYaml(value, indent = "") {
  return Object.entries(value)
    .map(([name, item]) =>
      item !== null && typeof item === "object" && !Array.isArray(item)
        ? `${indent}${name}:\n${toYaml(item, `${indent}  `)}`
        : `${indent}${name}: ${JSON.stringify(item)}\n`,
    )
    .join("");
}

export function createFleet({ storeAddress, record = () => undefined }) {
  const directory = mkdtempSync(join(tmpdir(), "zinniaspur-review-"));
  const children = [];
  let seeds = [];
  // Also when the time of the script is up.
  process.on("exit", () => children.forEach((child) => child.kill("SIGKILL")));
  process.once("SIGTERM", () => process.exit(2));

  function start(role, name, settings) {
    const file = join(directory, `${name}.yaml`);
    writeFileSync(file, toYaml(settings));
    const [program, ...words] = readCommand(role);
    const path = "/etc/zinniaspur/settings.toml";
    const log = openSync(join(directory, `${name}.log`), "a");
    const child = spawn(
      program === "node" ? process.execPath : program,
      words.map((word) => (word === path ? file : word)),
      { cwd: ROOT, stdio: ["ignore", log, log] },
    );
    children.push(child);
    child.on("exit", (code, signal) =>
      record({ event: "process ended", name, code, signal }),
    );
    return child;
  }

  return {
    directory,
    readLog: (name) => readFileSync(join(directory, `${name}.log`), "utf8"),
    /** Starts entries; returns their addresses and processes. */
    async startGateways(count, { storeAddresses = [] } = {}) {
      const ports = await findPorts(count * 4);
      const at = (index, offset) => `127.0.0.1:${ports[index * 4 + offset]}`;
      const indexes = Array.from({ length: count }, (_, index) => index);
      seeds = indexes.slice(0, 3).map((index) => at(index, 2));
      const zones = Object.keys(ZONES);
      return indexes.map((index) => {
        const name = `edge-${index}`;
        const settings = {
          host: name,
          data_centre: zones[index % zones.length],
          caller_address: at(index, 0),
          ready_address: at(index, 1),
          peer_address: at(index, 2),
          metrics_address: at(index, 3),
          store_address: storeAddresses[index] ?? storeAddress,
          seeds,
          regions: ZONES,
          bounds: BOUNDS,
        };
        const gateway = {
          name,
          callerAddress: at(index, 0),
          readyAddress: at(index, 1),
          child: start("gateway", name, settings),
          restart() {
            gateway.child = start("gateway", name, settings);
          },
        };
        return gateway;
      });
    },
    /** Starts a sidecar beside each of these model workers. */
    async startSidecars(workers, service) {
      const ports = await findPorts(workers.length * 2);
      workers.forEach(({ address, zone }, index) =>
        start("sidecar", `side-${index}`, {
          host: `side-${index}`,
          data_centre: zone,
          service,
          peer_address: `127.0.0.1:${ports[index * 2]}`,
          metrics_address: `127.0.0.1:${ports[index * 2 + 1]}`,
          endpoint_address: address,
          seeds,
          regions: ZONES,
          host_mbit_per_s: 5.32,
          switch_within_ms: BOUNDS.version_ms,
        }),
      );
    },
    /** Kills what still runs and removes the temporary folder. */
    async close() {
      await Promise.all(
        children.map((child) => {
          if (child.exitCode !== null || child.signalCode !== null) return;
          const ended = new Promise((resolve) => child.once("exit", resolve));
          child.kill("SIGKILL");
          return ended;
        }),
      );
      rmSync(directory, { recursive: true, force: true });
    },
  };
}
