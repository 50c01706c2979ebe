/** The entry accepts HTTP requests and dispatches them to endpoints. */

import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { formatAddress, splitAddress } from "../http/mod.ts";
import { createAccountLimits, createRetryBudget } from "../limits/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Node } from "../node/mod.ts";
import { createQuarantine } from "../quarantine/mod.ts";
import {
  chooseByPrefixAndLoad,
  chooseAgents,
  createLoadHints,
} from "../routing/mod.ts";
import type { ChoicePolicy } from "../routing/mod.ts";
import { createApp } from "./create_app.ts";
import type { EntryContext } from "./entry_context.ts";
import { createEntryMetrics } from "./entry_metrics.ts";
import type { EntrySettings } from "./entry_settings.ts";
import { createMemoryPool } from "./memory_pool.ts";
import type { CrashNotice, LoadNotice } from "../wire/mod.ts";
import { refuseMalformed } from "./refuse_malformed.ts";

const MAX_ALL_SENT_EVENTS_BYTES = 48 * 1024 * 1024;
const MAX_ALL_BODIES_BYTES = 32 * 1024 * 1024;
/** The server closes a connection this long after the body timeout. */
const REQUEST_TIMEOUT_EXTRA_MS = 2_000;
/** Longer than load balancers keep an idle connection, usually a minute. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
/** Interval of the check for headers and requests that time out. */
const HEADER_CHECK_INTERVAL_MS = 500;

export interface Entry {
  /** Resolves with the bound "IP:port", or with an error code. */
  listen(): Promise<Result<string, string>>;
  /**
   * Shuts down gracefully: fails the readiness check at once, refuses new
   * requests after `drainNoticeMs`, and closes when no request is in flight.
   */
  shutDown(): Promise<void>;
  /** Closes at once and aborts the requests in flight. */
  close(): Promise<void>;
}

export interface EntryOptions {
  readonly node: Node;
  readonly settings: EntrySettings;
  readonly registry: Registry;
  readonly logger: Logger;
  readonly choicePolicy?: ChoicePolicy;
  /** Uniform in [0, 1). */
  readonly random?: () => number;
  /** Monotonic clock. */
  readonly nowMs?: () => number;
}

export function createEntry(options: EntryOptions): Entry {
  const { node, settings, registry, logger } = options;
  const nowMs = options.nowMs ?? (() => performance.now());
  const metrics = createEntryMetrics(registry);
  const hints = createLoadHints();
  const quarantine = createQuarantine({ wallMs: Date.now });
  const context: EntryContext = {
    node,
    settings,
    metrics,
    hints,
    quarantine,
    retryBudget: createRetryBudget(nowMs),
    sentEventsPool: createMemoryPool(MAX_ALL_SENT_EVENTS_BYTES),
    bodyPool: createMemoryPool(MAX_ALL_BODIES_BYTES),
    chooseCandidate: options.choicePolicy ?? chooseByPrefixAndLoad,
    random: options.random ?? Math.random,
    nowMs,
  };
  let isDraining = false;
  let isRefusing = false;
  let inFlight = 0;
  let onIdle: () => void = () => undefined;

  function addInFlight() {
    inFlight += 1;
    return () => {
      inFlight -= 1;
      if (inFlight === 0) onIdle();
    };
  }

  const app = createApp(context, {
    limits: createAccountLimits({
      entry: node.identity.host,
      view: node.view,
      nowMs,
    }),
    registry,
    isDraining: () => isDraining,
    isRefusing: () => isRefusing,
    readInFlight: () => inFlight,
    addInFlight,
  });
  const server = createAdaptorServer({
    fetch: app.fetch,
    overrideGlobalObjects: false,
    autoCleanupIncoming: false,
    serverOptions: {
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: settings.bodyTimeoutMs,
      requestTimeout: settings.bodyTimeoutMs + REQUEST_TIMEOUT_EXTRA_MS,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
    },
  }) as Server;

  // Closes connections whose caller has stopped reading.
  server.setTimeout(
    settings.requestTimeoutMs +
      settings.bodyTimeoutMs +
      REQUEST_TIMEOUT_EXTRA_MS,
  );
  server.on("clientError", (error, socket) =>
    refuseMalformed(error, socket as Socket, metrics),
  );
  registry.gauge(
    "requests_in_flight",
    "Requests of callers that are being answered",
    () => inFlight,
  );
  node.addPeerChooser((view) =>
    chooseAgents(view, {
      entry: node.identity.host,
      isInUse: (hostName) => {
        const peer = node.findPeer(hostName);
        return peer !== undefined && hints.read(peer).inFlight > 0;
      },
    }),
  );
  node.onNotice("load", (peer, notice) =>
    hints.onReport(peer, notice as LoadNotice),
  );
  node.onNotice("crash", (from, notice) => {
    // Forwards only new notices, so that each connection carries one once.
    if (!quarantine.applyNotice(notice as CrashNotice)) return;
    metrics.crashNotices.increment();
    node
      .peers()
      .filter((peer) => peer !== from)
      .forEach((peer) => peer.sendNotice(notice));
  });

  node.onPeer((peer) =>
    quarantine.listNotices().forEach((notice) => peer.sendNotice(notice)),
  );

  /**
   * Each response has a deadline, but a caller that does not read can delay
   * its last bytes without limit.
   */
  async function waitUntilIdle() {
    if (inFlight === 0) return;
    const timeoutMs = settings.requestTimeoutMs + settings.bodyTimeoutMs;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        logger.warn({ inFlight }, "Closing connections of stalled callers");
        resolve();
      }, timeoutMs);
      onIdle = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  async function close() {
    isDraining = true;
    isRefusing = true;
    const serverClosed = new Promise((resolve) => server.close(resolve));
    server.closeAllConnections();
    await serverClosed;
  }

  return {
    listen() {
      const { host, port } = splitAddress(settings.httpAddress);
      return new Promise((resolve) => {
        server.once("error", (error: NodeJS.ErrnoException) =>
          resolve(err(error.code ?? error.message)),
        );
        server.listen(port, host, () => {
          resolve(ok(formatAddress(server.address() as AddressInfo)));
        });
      });
    },
    async shutDown() {
      if (isDraining) return;
      isDraining = true;
      logger.info(
        { inFlight },
        "Shutting down: the readiness check fails from now on",
      );
      await new Promise((resolve) =>
        setTimeout(resolve, settings.drainNoticeMs),
      );
      isRefusing = true;
      logger.info({ inFlight }, "Refusing new requests");
      await waitUntilIdle();
      await close();
      logger.info("Entry closed");
    },
    close,
  };
}
