/**
 * Permits of this entry to send requests to endpoints that name a request limit:
 * lent by the agent beside the endpoint, which counts for all entries, or taken
 * in turns with the other entries while there is no contact to an agent. Every
 * attempt at such an endpoint needs one, whatever the reason for it.
 */

import {
  claimTurns,
  createRecentRecords,
  MIN_RATE_PER_S,
  PERMIT_VALID_MS,
  toLimitRecord,
} from "../limits/mod.ts";
import type { StatedLimits, TurnPosition } from "../limits/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Peer, PermitGrantNotice } from "../wire/mod.ts";
import { createIncarnationKey } from "./endpoint_availability.ts";
import type { Incarnation } from "./endpoint_availability.ts";
import { createRateWindow } from "./rate_window.ts";

/** The endpoint's limit leaves no request for this entry now. */
export const REQUEST_LIMIT_REASON = "request_limit";

/** Part of the rate that the entries without contact to the agent share. */
const TURN_PART_BESIDE_AGENT = 0.15;
/** Shorter than the time for which an agent serves an ask. */
const ASK_INTERVAL_MS = 500;
/** Between asks that were served completely. */
const MIN_ASK_INTERVAL_MS = 50;
/** Permits used in the last second are asked for at once, up to this. */
const MAX_ASKED = 100;
/** More than the endpoints of the largest planned fleet, and their successors. */
const MAX_RECORDS = 8_192;

/** The permit of one attempt, or none if its endpoint names no limit. */
export interface RequestPermit {
  /**
   * To be called when the request is about to be sent: opening the connection
   * takes time. False if the request must not be sent.
   */
  confirm(): boolean;
  /** To be called if the request was not sent. */
  release(): void;
}

export interface RequestPermits {
  /** Infinity if the endpoint names no limit. */
  readLimitPerS(endpoint: Incarnation): number;
  /** True if a request may be sent to the endpoint now. */
  isAvailable(endpoint: Incarnation): boolean;
  take(endpoint: Incarnation): RequestPermit;
  /** To be called when a request would go there if there was a permit. */
  want(endpoint: Incarnation): void;
  onGrant(notice: PermitGrantNotice): void;
}

export interface RequestPermitsOptions {
  readonly statedLimits: StatedLimits;
  /** Never runs slow, so that no permit is used too late. */
  readonly ageMs: () => number;
  readonly nowMs: () => number;
  readonly wallMs: () => number;
  readonly ownHost: string;
  /** Other entries; undefined while this process has no list of them yet. */
  readonly listEntryHosts: () => readonly string[] | undefined;
  /** The agent beside the endpoint, if it is in contact. */
  readonly findAgent: (address: string) => Peer | undefined;
  /** False for endpoints of services that have no agents. */
  readonly mayHaveAgent: (endpoint: Incarnation) => boolean;
  readonly registry: Registry;
}

interface PermitRecord {
  /** Times until which the permits are valid. */
  permits: readonly number[];
  /** Undefined while permits come from the agent. */
  turns: TurnPosition | undefined;
  lastAsk: Ask | undefined;
}

interface Ask {
  readonly id: number;
  readonly record: PermitRecord;
  readonly askedAtMs: number;
  remaining: number;
}

export function createRequestPermits(
  options: RequestPermitsOptions,
): RequestPermits {
  const { statedLimits, ageMs, nowMs, wallMs, registry } = options;
  const records = createRecentRecords<PermitRecord>(MAX_RECORDS);
  /** Asks whose permits would still be valid, the oldest first. */
  const asks = new Map<number, Ask>();
  const used = createRateWindow(nowMs);
  let lastAskId = 0;
  const permitCounter = registry.counter(
    "request_permits_total",
    "Permits for endpoints that name a request limit, by what became of them",
  );

  function readLimitPerS(endpoint: Incarnation): number {
    return statedLimits.read(endpoint)?.ratePerS ?? Infinity;
  }

  function findRecord(endpoint: Incarnation): PermitRecord {
    const key = createIncarnationKey(endpoint);
    const found = records.read(key);
    if (found !== undefined) {
      const now = ageMs();
      const valid = found.permits.filter((untilMs) => untilMs > now);
      const expired = found.permits.length - valid.length;
      if (expired > 0) permitCounter.increment({ kind: "expired" }, expired);
      found.permits = valid;
      return found;
    }
    const created: PermitRecord = {
      permits: [],
      turns: undefined,
      lastAsk: undefined,
    };
    records.write(key, created);
    return created;
  }

  /** Adds permits for the turns of this entry that have begun. */
  function addTurns(endpoint: Incarnation, record: PermitRecord) {
    const otherHosts = options.listEntryHosts();
    const hasAgent = options.findAgent(endpoint.address) !== undefined;
    // Without the list this entry could take the turns of all others.
    if (hasAgent || otherHosts === undefined) {
      record.turns = undefined;
      return;
    }
    const part = options.mayHaveAgent(endpoint) ? TURN_PART_BESIDE_AGENT : 1;
    const { position, validForMs } = claimTurns(
      {
        endpoint: endpoint.id,
        ratePerS: Math.max(readLimitPerS(endpoint), MIN_RATE_PER_S) * part,
        wallMs: wallMs(),
        ownHost: options.ownHost,
        otherHosts,
      },
      record.turns,
    );
    record.turns = position;
    if (validForMs.length === 0) return;
    const now = ageMs();
    const added = validForMs.map((remainingMs) => now + remainingMs);
    record.permits = [...record.permits, ...added];
  }

  /** Returns the time until which the permit is valid. */
  function takeOne(endpoint: Incarnation): number | undefined {
    const record = findRecord(endpoint);
    addTurns(endpoint, record);
    const [first, ...others] = record.permits;
    record.permits = others;
    return first;
  }

  function dropExpiredAsks(now: number) {
    [...asks.values()]
      .filter(({ askedAtMs }) => now - askedAtMs >= PERMIT_VALID_MS)
      .forEach(({ id }) => asks.delete(id));
  }

  function sendAsk(endpoint: Incarnation, agent: Peer) {
    const record = findRecord(endpoint);
    const { lastAsk } = record;
    const statement = statedLimits.read(endpoint);
    const now = ageMs();
    const intervalMs =
      lastAsk?.remaining === 0 ? MIN_ASK_INTERVAL_MS : ASK_INTERVAL_MS;
    const isTooEarly =
      lastAsk !== undefined && now - lastAsk.askedAtMs < intervalMs;
    if (statement === undefined || isTooEarly) return;
    dropExpiredAsks(now);
    lastAskId += 1;
    const recent = used.recent(createIncarnationKey(endpoint));
    const count = Math.min(MAX_ASKED, Math.max(1, recent));
    record.lastAsk = {
      id: lastAskId,
      record,
      askedAtMs: now,
      remaining: count,
    };
    asks.set(lastAskId, record.lastAsk);
    agent.sendNotice({
      topic: "permit_ask",
      askId: lastAskId,
      count,
      limit: toLimitRecord({ endpoint, statement }, nowMs()),
    });
  }

  return {
    readLimitPerS,
    isAvailable(endpoint) {
      if (readLimitPerS(endpoint) === Infinity) return true;
      const record = findRecord(endpoint);
      addTurns(endpoint, record);
      return record.permits.length > 0;
    },
    take(endpoint) {
      const isLimited = () => readLimitPerS(endpoint) !== Infinity;
      let validUntilMs = isLimited() ? takeOne(endpoint) : undefined;
      return {
        confirm() {
          if (!isLimited()) return true;
          if (validUntilMs === undefined || validUntilMs <= ageMs()) {
            validUntilMs = takeOne(endpoint);
          }
          if (validUntilMs === undefined) return false;
          used.count(createIncarnationKey(endpoint));
          permitCounter.increment({ kind: "used" });
          return true;
        },
        release() {
          if (validUntilMs === undefined) return;
          const record = findRecord(endpoint);
          record.permits = [validUntilMs, ...record.permits];
        },
      };
    },
    want(endpoint) {
      permitCounter.increment({ kind: "missing" });
      const agent = options.findAgent(endpoint.address);
      if (agent !== undefined) sendAsk(endpoint, agent);
    },
    onGrant({ askId, count }) {
      const ask = asks.get(askId);
      if (ask === undefined) return;
      const { record } = ask;
      const granted = Math.min(count, ask.remaining);
      const validUntilMs = ask.askedAtMs + PERMIT_VALID_MS;
      record.permits = [
        ...record.permits,
        ...Array.from({ length: granted }, () => validUntilMs),
      ];
      ask.remaining -= granted;
      if (ask.remaining === 0) asks.delete(askId);
    },
  };
}
