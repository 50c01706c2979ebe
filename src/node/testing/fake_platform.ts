/** The platform's HTTP interface over values that a test sets. */

import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Host } from "../../membership/mod.ts";

/** How calls are answered; `stale` answers with the value held, however old. */
export type PlatformMode = "up" | "error" | "stalled" | "stale";

export interface FakePlatform {
  readonly url: string;
  publish(text: string): number;
  /** Publishes under a chosen version, however low. */
  publishAs(version: number, text: string): void;
  setHosts(hosts: readonly Host[]): void;
  setMode(mode: PlatformMode): void;
  countReads(): number;
  close(): Promise<void>;
}

type Topic = "config" | "hosts";

interface Stored {
  readonly version: number;
  readonly body: string;
}

interface WaitingCall {
  readonly topic: Topic;
  readonly after: number;
  readonly waitMs: number;
  readonly response: ServerResponse;
}

export async function startFakePlatform(): Promise<FakePlatform> {
  const stored: Record<Topic, Stored> = {
    config: { version: 0, body: "" },
    hosts: { version: 0, body: "" },
  };
  let mode: PlatformMode = "up";
  let reads = 0;
  const waiting = new Set<() => void>();

  function store(topic: Topic, version: number, body: object) {
    stored[topic] = { version, body: JSON.stringify(body) };
    [...waiting].forEach((wake) => wake());
  }

  function publishAs(version: number, text: string) {
    const body = { version, published_at_ms: Date.now(), value: text };
    store("config", version, body);
  }

  async function answer(request: IncomingMessage, response: ServerResponse) {
    reads++;
    const url = new URL(request.url ?? "", "http://platform");
    const topic = url.pathname === "/v1/hosts" ? "hosts" : "config";
    const after = Number(url.searchParams.get("after"));
    const waitMs = Number(url.searchParams.get("wait_ms"));
    if (mode === "stalled") return;
    if (mode === "error") return void response.writeHead(503).end();
    if (mode === "stale") {
      return void response.end(stored[topic].body);
    }
    await waitForNewer({ topic, after, waitMs, response });
    const { version, body } = stored[topic];
    if (version <= after) {
      const header = topic === "config" ? "config-version" : "hosts-sequence";
      return void response.writeHead(204, { [header]: version }).end();
    }
    response.end(body);
  }

  function waitForNewer(call: WaitingCall) {
    return new Promise<void>((resolve) => {
      const timer = setTimeout(finish, call.waitMs);
      function finish() {
        clearTimeout(timer);
        waiting.delete(check);
        resolve();
      }
      function check() {
        if (stored[call.topic].version > call.after) finish();
      }
      call.response.on("close", finish);
      waiting.add(check);
      check();
    });
  }

  const server = createServer((request, response) => {
    void answer(request, response);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    publish(text) {
      const version = stored.config.version + 1;
      publishAs(version, text);
      return version;
    },
    publishAs,
    setHosts(hosts) {
      const sequence = stored.hosts.version + 1;
      const entries = hosts.map((host) => ({
        name: host.name,
        role: host.role,
        service: host.service,
        data_centre: host.dataCentre,
        peer_address: host.peerAddress,
        state: host.state,
      }));
      store("hosts", sequence, { sequence, hosts: entries });
    },
    setMode(next) {
      mode = next;
      if (next !== "up") server.closeAllConnections();
    },
    countReads: () => reads,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
