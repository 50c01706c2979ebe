/**
 * Exchanges what endpoints state about their request limits: with the other
 * entries, so that those which got no response from an endpoint know its limit
 * and its end, and with the agent beside the endpoint, which lends permits.
 */

import {
  createLimitsNotice,
  createRecentRecords,
  fromLimitRecord,
} from "../limits/mod.ts";
import type { LimitStatement, StatedLimits } from "../limits/mod.ts";
import type { Mesh } from "../mesh/mod.ts";
import type {
  EndpointLoadNotice,
  Peer,
  PermitGrantNotice,
  RequestLimitsNotice,
} from "../wire/mod.ts";
import type { Incarnation } from "./endpoint_availability.ts";

/** Keeps an endpoint that names another limit in each response from flooding. */
const MIN_SEND_INTERVAL_MS = 200;
/**
 * A limit that responses go on to name is sent to the agent again at this
 * interval, so that both agree again if they got statements in another order.
 */
const REPEAT_INTERVAL_MS = 1_000;
/** More than the endpoints of the largest planned fleet. */
const MAX_RECORDS = 8_192;

const NEVER_SENT = { ratePerS: Infinity, atMs: -Infinity } as const;

export interface RequestLimitExchange {
  /** To be called with what a response to this entry states. */
  onStatement(endpoint: Incarnation, statement: LimitStatement): void;
  /** To be called with each report of an agent. */
  onReport(notice: EndpointLoadNotice, agent: Peer): void;
  /** The agent that has reported on the endpoint at this address. */
  findAgent(address: string): Peer | undefined;
}

export interface RequestLimitExchangeOptions {
  readonly statedLimits: StatedLimits;
  readonly mesh: Pick<Mesh, "onPeer" | "onMeshNotice" | "peers">;
  /** True if the endpoint's agent has reported within the last seconds. */
  readonly isReported: (address: string) => boolean;
  readonly onGrant: (notice: PermitGrantNotice) => void;
  readonly nowMs: () => number;
}

export function startRequestLimitExchange(
  options: RequestLimitExchangeOptions,
): RequestLimitExchange {
  const { statedLimits, mesh, isReported, nowMs } = options;
  const agents = new Map<string, Peer>();
  const lastSent = createRecentRecords<{
    readonly ratePerS: number;
    readonly atMs: number;
  }>(MAX_RECORDS);

  function findAgent(address: string): Peer | undefined {
    return isReported(address) ? agents.get(address) : undefined;
  }

  function listEntries(): readonly Peer[] {
    return mesh.peers().filter(({ hello }) => hello.role === "entry");
  }

  function listReceivers(address: string): readonly Peer[] {
    return [...listEntries(), findAgent(address) ?? []].flat();
  }

  function sendIfDue(endpoint: Incarnation) {
    const statement = statedLimits.read(endpoint);
    if (statement === undefined) return;
    const { ratePerS } = statement;
    const { address } = endpoint;
    const last = lastSent.read(address) ?? NEVER_SENT;
    const sinceMs = nowMs() - last.atMs;
    const isChanged = ratePerS !== last.ratePerS;
    const isRepeat = !isChanged && ratePerS !== Infinity;
    const intervalMs = isRepeat ? REPEAT_INTERVAL_MS : MIN_SEND_INTERVAL_MS;
    if ((!isChanged && !isRepeat) || sinceMs < intervalMs) return;
    lastSent.write(address, { ratePerS, atMs: nowMs() });
    const notice = createLimitsNotice([{ endpoint, statement }], nowMs());
    const agent = findAgent(address);
    const receivers =
      isRepeat && agent !== undefined ? [agent] : listReceivers(address);
    receivers.forEach((peer) => peer.sendNotice(notice));
  }

  /** Passes on what is new here to those that the sender may not be connected to. */
  function onLimits(sender: Peer, { limits }: RequestLimitsNotice) {
    const now = nowMs();
    const changed = limits.filter((record) => {
      const { endpoint, statement } = fromLimitRecord(record, now);
      return statedLimits.note(endpoint, statement, sender.hello.host);
    });
    changed.forEach((record) => {
      const { address, ratePerS = Infinity } = record;
      lastSent.write(address, { ratePerS, atMs: now });
      const notice = { topic: "request_limits", limits: [record] } as const;
      listReceivers(address)
        .filter((peer) => peer !== sender)
        .forEach((peer) => peer.sendNotice(notice));
    });
  }

  mesh.onMeshNotice("request_limits", (peer, notice) =>
    onLimits(peer, notice as RequestLimitsNotice),
  );
  mesh.onMeshNotice("permit_grant", (_, notice) =>
    options.onGrant(notice as PermitGrantNotice),
  );
  mesh.onPeer((peer) => {
    if (peer.hello.role !== "entry") return;
    const limits = statedLimits
      .list()
      .filter(({ statement }) => statement.ratePerS !== Infinity);
    if (limits.length > 0) peer.sendNotice(createLimitsNotice(limits, nowMs()));
  });

  return {
    onStatement(endpoint, statement) {
      statedLimits.note(endpoint, statement, "response");
      sendIfDue(endpoint);
    },
    onReport({ address }, agent) {
      if (agents.get(address) === agent) return;
      agents.set(address, agent);
      void agent.closed.then(() => {
        if (agents.get(address) === agent) agents.delete(address);
      });
    },
    findAgent,
  };
}
