/**
 * An entry with fake agents for tests. Peer connections and HTTP are real and
 * use the loopback interface; the test sets the view of the fleet.
 */

import { createHash } from "node:crypto";
import { err } from "neverthrow";
import type { EnvironmentDocument } from "../../document/mod.ts";
import type { Host } from "../../membership/mod.ts";
import { createRegistry } from "../../metrics/mod.ts";
import type { Node } from "../../node/mod.ts";
import type { ChoicePolicy } from "../../routing/mod.ts";
import {
  connectPeer,
  createWireCounters,
  listenForPeers,
} from "../../wire/mod.ts";
import type {
  Hello,
  Notice,
  Peer,
  RequestHead,
  Stream,
  Trailer,
} from "../../wire/mod.ts";
import { createEntry } from "../mod.ts";
import type { EntrySettings } from "../mod.ts";

export const DIGEST = `sha256:${"1".repeat(64)}`;
export const OTHER_DIGEST = `sha256:${"2".repeat(64)}`;
export const API_KEY = "key-of-a";
const STREAM_LOST = { type: "stream_lost", reason: "socket_error" } as const;

export interface Deferred<T> {
  readonly promise: Promise<T>;
  readonly resolve: (value: T) => void;
}

/** A promise with its resolve function. */
export function createDeferred<T = void>(): Deferred<T> {
  let resolvePromise: (value: T) => void;
  const promise = new Promise<T>((resolve) => (resolvePromise = resolve));
  return { promise, resolve: resolvePromise! };
}

function createLogger(onMessage: (message: string) => void): Node["logger"] {
  function log(...values: readonly unknown[]) {
    onMessage(String(values.at(-1)));
  }
  const names = ["debug", "info", "warn", "error", "fatal"];
  return Object.fromEntries(
    names.map((name) => [name, log]),
  ) as unknown as Node["logger"];
}

const ADMISSION = { coldConcurrency: 2, warmConcurrency: 8, maxQueued: 8 };

/** Two data centres in one region and one in another. */
export function createDocument(
  runners: readonly string[] = ["a", "b", "c"],
): EnvironmentDocument {
  return {
    environment: "test",
    deployment: "agency",
    regions: [{ name: "r1" }, { name: "r2" }],
    dataCentres: [
      { name: "d1", region: "r1", out: false },
      { name: "d2", region: "r1", out: false },
      { name: "d3", region: "r2", out: false },
    ],
    links: { hostMbitPerS: 100, storeMbitPerS: 100, regionMbitPerS: 15 },
    models: [
      {
        name: "m",
        versions: [{ name: "v1", digest: DIGEST, sizeBytes: 1 }],
        servingVersion: "v1",
      },
    ],
    services: [
      { kind: "language", name: "assistant", model: "m", admission: ADMISSION },
      {
        kind: "plain",
        name: "booking",
        admission: ADMISSION,
        routes: [
          { method: "POST", pathPrefix: "/bookings", repeatable: false },
          { method: "GET", pathPrefix: "/bookings", repeatable: true },
        ],
        runnerSets: [{ fromMs: 0, runners }],
        runnerLeadS: 86_400,
        maxKeys: 100,
      },
    ],
    clientAccounts: [
      {
        name: "a",
        apiKeySha256: createHash("sha256").update(API_KEY).digest("hex"),
        requestsPerS: 10_000,
        priority: 5,
      },
    ],
  };
}

/** How a fake agent handles one request; the whole body has been read. */
export type AgentBehaviour = (
  stream: Stream,
  request: { readonly head: RequestHead; readonly body: string },
  agent: FakeAgent,
) => unknown;

export interface FakeAgent {
  readonly host: string;
  readonly requests: { readonly head: RequestHead; readonly body: string }[];
  readonly notices: Notice[];
  /** Tests may replace this function. */
  behaviour: AgentBehaviour;
  /** Closes the connection to the entry. */
  disconnect(): void;
  notify(notice: Notice): void;
  /** Resolves when the entry has sent this many notices. */
  waitForNotices(count: number): Promise<void>;
}

export interface FakeAgentOptions {
  readonly host: string;
  readonly dataCentre?: string;
  readonly service?: string;
  readonly behaviour: AgentBehaviour;
  /** The connection closes whenever the entry opens a stream. */
  readonly refusesStreams?: boolean;
}

export interface TestFleet {
  readonly url: string;
  readonly entry: ReturnType<typeof createEntry>;
  readonly agents: readonly FakeAgent[];
  readonly fetchedVersions: readonly number[];
  view: {
    document: EnvironmentDocument | undefined;
    hosts: readonly Host[];
    isRecoveringFromPause: boolean;
  };
  notifyViewChange(): void;
  /** Resolves when all agents together have received this many requests. */
  waitForRequests(count: number): Promise<void>;
  /** Resolves when the entry has received a load report from this host. */
  waitForReport(host: string): Promise<void>;
  /** Resolves when the entry has logged this message. */
  waitForLog(message: string): Promise<void>;
  counter(name: string, labels?: Record<string, string>): number;
  post(
    path: string,
    body: unknown,
    headers?: Record<string, string>,
  ): Promise<Response>;
  close(): Promise<void>;
}

export interface TestFleetOptions {
  readonly agents?: readonly FakeAgentOptions[];
  readonly settings?: Partial<EntrySettings>;
  readonly choicePolicy?: ChoicePolicy;
  readonly nowMs?: () => number;
}

/** Chooses the candidate with the first host name. */
export const chooseFirst: ChoicePolicy = (candidates) =>
  [...candidates].sort((a, b) => (a.host < b.host ? -1 : 1))[0];

export async function createTestFleet(
  options: TestFleetOptions,
): Promise<TestFleet> {
  const registry = createRegistry();
  const deferredByEvent = new Map<string, Deferred<void>>();
  const logger = createLogger((message) => findDeferred(message).resolve());
  function findDeferred(message: string): Deferred<void> {
    const deferred = deferredByEvent.get(message) ?? createDeferred();
    deferredByEvent.set(message, deferred);
    return deferred;
  }
  const counters = createWireCounters(registry);
  const peers = new Map<string, Peer>();
  const noticeHandlers = new Map<string, (peer: Peer, n: Notice) => void>();
  const changeHandlers: (() => void)[] = [];
  const fetchedVersions: number[] = [];
  let requestCount = 0;
  const view: TestFleet["view"] = {
    document: createDocument(),
    hosts: [],
    isRecoveringFromPause: false,
  };
  const node: Node = {
    identity: {
      host: "entry-1",
      role: "entry",
      dataCentre: "d1",
      incarnation: "i",
      startedAtMs: 0,
    },
    registry,
    logger,
    peerAddress: "127.0.0.1:0",
    view: {
      config: () =>
        view.document && {
          version: 7,
          document: view.document,
          publishedAtMs: 0,
        },
      configConfirmedAtMs: () => 0,
      hosts: () => ({ sequence: 1, hosts: view.hosts }),
      onChange: (handler) => changeHandlers.push(handler),
      isRecoveringFromPause: () => view.isRecoveringFromPause,
    },
    peers: () => [...peers.values()].filter((peer) => !peer.isClosed()),
    findPeer: (host) => {
      const peer = peers.get(host);
      return peer?.isClosed() ? undefined : peer;
    },
    onPeer: () => undefined,
    addPeerChooser: () => undefined,
    onStream: () => undefined,
    onNotice: (topic, handler) => noticeHandlers.set(topic, handler),
    fetchConfig: async (_, version) => void fetchedVersions.push(version),
    isClockSkewed: () => false,
    raiseConfigFloor: () => undefined,
    close: async () => undefined,
  };
  const entry = createEntry({
    node,
    registry,
    logger,
    random: () => 0,
    choicePolicy: options.choicePolicy ?? chooseFirst,
    ...(options.nowMs && { nowMs: options.nowMs }),
    settings: {
      httpAddress: "127.0.0.1:0",
      maxBodyBytes: 1024 * 1024,
      bodyTimeoutMs: 5_000,
      requestTimeoutMs: 10_000,
      drainNoticeMs: 1,
      ...options.settings,
    },
  });
  const started = await Promise.all(
    (options.agents ?? []).map((agentOptions) =>
      startFakeAgent(agentOptions, {
        counters,
        onRequest: () => {
          requestCount += 1;
          findDeferred(`request ${requestCount}`).resolve();
        },
        onNotice: (peer, notice) => {
          noticeHandlers.get(notice.topic)?.(peer, notice);
          if (notice.topic === "load") {
            findDeferred(`report of ${peer.hello.host}`).resolve();
          }
        },
      }),
    ),
  );
  started.forEach(({ peer }) => peers.set(peer.hello.host, peer));
  const address = (await entry.listen())._unsafeUnwrap();
  const url = `http://${address}`;
  return {
    url,
    entry,
    view,
    fetchedVersions,
    agents: started.map(({ agent }) => agent),
    waitForRequests: (count) => findDeferred(`request ${count}`).promise,
    waitForReport: (host) => findDeferred(`report of ${host}`).promise,
    waitForLog: (message) => findDeferred(message).promise,
    notifyViewChange: () => changeHandlers.forEach((handler) => handler()),
    counter: (name, labels) => registry.counter(name, "").read(labels),
    post: (path, body, headers = {}) =>
      fetch(url + path, {
        method: "POST",
        headers: { authorization: `Bearer ${API_KEY}`, ...headers },
        body: typeof body === "string" ? body : JSON.stringify(body),
      }),
    async close() {
      await entry.close();
      await Promise.all(started.map(({ close }) => close()));
    },
  };
}

async function startFakeAgent(
  options: FakeAgentOptions,
  entryOptions: {
    readonly counters: ReturnType<typeof createWireCounters>;
    readonly onNotice: (peer: Peer, notice: Notice) => void;
    readonly onRequest: () => void;
  },
) {
  const { counters, onNotice, onRequest } = entryOptions;
  let entryPeer: Peer | undefined;
  const noticeWaiters: (() => void)[] = [];
  const agent: FakeAgent = {
    host: options.host,
    requests: [],
    notices: [],
    behaviour: options.behaviour,
    disconnect: () => entryPeer?.close("killed"),
    notify: (notice) => entryPeer?.sendNotice(notice),
    async waitForNotices(count) {
      while (agent.notices.length < count) {
        await new Promise<void>((resolve) => noticeWaiters.push(resolve));
      }
    },
  };

  async function serve(stream: Stream) {
    const parts: Uint8Array[] = [];
    for (;;) {
      const event = await stream.read();
      if (event.type === "data") parts.push(event.bytes);
      if (event.type === "lost") return;
      if (event.type === "end") break;
    }
    const request = {
      head: stream.head as RequestHead,
      body: Buffer.concat(parts).toString(),
    };
    agent.requests.push(request);
    onRequest();
    await agent.behaviour(stream, request, agent);
  }

  const connected = createDeferred();
  const listener = await listenForPeers("127.0.0.1:0", {
    hello: () => createHello(options),
    counters,
    handlers: {
      onStream: (_, stream) => void serve(stream),
      onNotice: (_, notice) => {
        agent.notices.push(notice);
        noticeWaiters.splice(0).forEach((resolve) => resolve());
      },
    },
    onPeer: (peer) => {
      entryPeer = peer;
      connected.resolve();
    },
  });
  const dialled = await connectPeer(listener.address, {
    hello: () => ({ ...createHello(options), host: "entry-1", role: "entry" }),
    counters,
    handlers: { onStream: () => undefined, onNotice },
  });
  await connected.promise;
  const peer = dialled._unsafeUnwrap();
  return {
    agent,
    peer: options.refusesStreams
      ? { ...peer, openStream: () => err(STREAM_LOST) }
      : peer,
    close: listener.close,
  };
}

function createHello(options: FakeAgentOptions): Hello {
  return {
    protocolVersion: 1,
    role: "agent",
    host: options.host,
    dataCentre: options.dataCentre ?? "d1",
    service: options.service ?? "assistant",
    incarnation: "i",
    configVersion: 7,
  };
}

export function formatEvent(text: string, id = "c1"): string {
  const choices = [{ index: 0, delta: { content: text }, finish_reason: null }];
  return `data: ${JSON.stringify({ id, created: 1, choices })}\n\n`;
}

export const FINISH_EVENT = `data: ${JSON.stringify({
  id: "c1",
  choices: [{ index: 0, delta: {}, finish_reason: "stop" }],
})}\n\n`;
export const DONE_EVENT = "data: [DONE]\n\n";

export function sendHead(
  stream: Stream,
  options: { digest?: string; type?: string; status?: number } = {},
) {
  const { digest = DIGEST, type = "text/event-stream", status = 200 } = options;
  stream.send({ kind: "accepted", incarnation: "i" });
  stream.send({
    kind: "response_head",
    status,
    headers: { "content-type": type },
    versionDigest: digest,
  });
}

/** Streams these events, or parts of events, and ends with the trailer. */
export function streamEvents(
  events: readonly string[],
  trailer: Trailer = { outcome: "answered" },
): AgentBehaviour {
  return async (stream) => {
    sendHead(stream);
    for (const event of events) await stream.write(Buffer.from(event));
    stream.end(trailer);
  };
}

export function answerJson(text: string): AgentBehaviour {
  return async (stream) => {
    sendHead(stream, { type: "application/json" });
    await stream.write(Buffer.from(JSON.stringify({ text })));
    stream.end({ outcome: "answered" });
  };
}

export function refuseWith(
  code: string,
  retryAfterMs?: number,
): AgentBehaviour {
  return (stream) =>
    stream.end({
      outcome: "not_run",
      code,
      ...(retryAfterMs !== undefined && { retryAfterMs }),
    });
}

/** The text in the events that a caller received. */
export function readContent(events: string): string {
  return events
    .split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice(6)) as Record<string, never>)
    .flatMap(
      ({ choices }) => (choices ?? []) as { delta?: { content?: string } }[],
    )
    .map((choice) => choice.delta?.content ?? "")
    .join("");
}
