/** HTTP endpoint for tests that acts as an engine or a plain service. */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

export interface FakeEngineState {
  bootId: string;
  phase: "empty" | "loading" | "cold" | "warm";
  versionDigest: string;
  inFlight: number;
  queued: number;
  fencing: readonly [number, string] | undefined;
  /** Undefined reports the current time. */
  reportedAtMs: number | undefined;
}

export interface FakeRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly response: ServerResponse;
}

export type FakeEngine = Awaited<ReturnType<typeof createFakeEngine>>;

export async function createFakeEngine(digest: string) {
  const requests: FakeRequest[] = [];
  const cancelled: string[] = [];
  const orders: Record<string, unknown>[] = [];
  const waiters: (() => void)[] = [];
  const activityHandlers: (() => void)[] = [];
  const state: FakeEngineState = {
    bootId: "boot-1",
    phase: "warm",
    versionDigest: digest,
    inFlight: 0,
    queued: 0,
    fencing: undefined,
    reportedAtMs: undefined,
  };
  let wallMs = () => Date.now();
  let onRequest: (request: FakeRequest) => void = answerWithJson;
  let onOrder = (order: Record<string, unknown>) => {
    state.versionDigest = String(order.version_digest);
    state.fencing = order.fencing as readonly [number, string];
    state.phase = "cold";
    return 202;
  };

  function notifyWaiters() {
    waiters.splice(0).forEach((waiter) => waiter());
    activityHandlers.forEach((listener) => listener());
  }

  function answerWithJson({ response }: FakeRequest) {
    response.writeHead(200, {
      "content-type": "application/json",
      "engine-version-digest": state.versionDigest,
    });
    response.end('{"ok":true}');
  }

  async function handle(request: IncomingMessage, response: ServerResponse) {
    const { method = "GET", url: path = "/" } = request;
    const body = await readText(request);
    if (path === "/v1/state") return sendState(response);
    if (path === "/v1/orders/load") {
      const order = JSON.parse(body) as Record<string, unknown>;
      orders.push(order);
      response.writeHead(onOrder(order)).end();
      return notifyWaiters();
    }
    const cancel = /^\/v1\/requests\/(.+)\/cancel$/.exec(path);
    if (cancel !== null) {
      cancelled.push(cancel[1]!);
      response.writeHead(200).end();
      return notifyWaiters();
    }
    const received = { method, path, body, response };
    requests.push(received);
    notifyWaiters();
    onRequest(received);
  }

  function sendState(response: ServerResponse) {
    notifyWaiters();
    response.end(
      JSON.stringify({
        boot_id: state.bootId,
        phase: state.phase,
        version_digest: state.versionDigest,
        in_flight: state.inFlight,
        queued: state.queued,
        fencing: state.fencing,
        reported_at_ms: state.reportedAtMs ?? wallMs(),
      }),
    );
  }

  const server: Server = createServer((request, response) => {
    void handle(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  const { port } = server.address() as AddressInfo;

  return {
    url: `http://127.0.0.1:${port}`,
    state,
    requests,
    cancelled,
    orders,
    /** Called after each request to the engine. */
    onActivity: (handler: () => void) => void activityHandlers.push(handler),
    /** Resolves with the request of this index, counted from 0. */
    async waitForRequest(index: number) {
      while (requests.length <= index) {
        await new Promise<void>((resolve) => waiters.push(resolve));
      }
      return requests[index]!;
    },
    async waitForCancel() {
      while (cancelled.length === 0) {
        await new Promise<void>((resolve) => waiters.push(resolve));
      }
      return cancelled[0]!;
    },
    onRequest: (handler: (request: FakeRequest) => void) =>
      void (onRequest = handler),
    /** By default an order is loaded at once and the engine becomes cold. */
    onOrder: (handler: typeof onOrder) => void (onOrder = handler),
    /** Sets the clock of state reports. */
    setClock: (next: () => number) => void (wallMs = next),
    breakConnections: () => server.closeAllConnections(),
    close: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

async function readText(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts).toString();
}
