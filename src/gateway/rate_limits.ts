/**
 * The rate at which this entry may send requests to an endpoint that can be
 * cold at any moment: the share and the loans that the endpoint's agent grants,
 * or a part of the reserve while there is no contact to the agent.
 */

import { computeReserveShare, splitColdLimit } from "../limits/mod.ts";
import type { Peer, RateGrantNotice } from "../wire/mod.ts";
import { createRateWindow } from "./rate_window.ts";

/** Longer than an agent takes to restart. */
const SHARE_VALID_MS = 10_000;
/** Shorter than the time for which the agent blocks the rate (`LOAN_MS`). */
const LOAN_VALID_MS = 2_000;
/** A loan is asked for, or renewed, when this part of the limit is in use. */
const ASK_USED_PART = 0.6;
const ASK_INTERVAL_MS = 500;
/** Requests of the last second times this are asked for. */
const ASK_GROWTH = 2;

/** The endpoint fields that the limits depend on. */
export interface LimitedEndpoint {
  readonly id: string;
  readonly address: string;
}

export interface RateLimits {
  /** Requests that may be sent to the endpoint now. */
  countFree(endpoint: LimitedEndpoint, coldLimitPerS: number): number;
  /** Counts a request that is sent now. */
  count(endpoint: LimitedEndpoint, coldLimitPerS: number): void;
  /** True if requests may ever be sent there: an agent or the reserve allows. */
  isReachable(endpoint: LimitedEndpoint, coldLimitPerS: number): boolean;
  onShare(address: string, sharePerS: number | undefined, agent: Peer): void;
  onGrant(notice: RateGrantNotice): void;
  /** To be called when the known entries have changed. */
  onEntriesChange(): void;
}

export interface RateLimitsOptions {
  readonly nowMs: () => number;
  readonly ownHost: string;
  /** Other entries; undefined while this process has no list of them yet. */
  readonly listEntryHosts: () => readonly string[] | undefined;
}

interface AgentRecord {
  agent: Peer;
  sharePerS: number;
  sharedAtMs: number;
  askedAtMs: number;
  loans: readonly {
    readonly ratePerS: number;
    readonly validUntilMs: number;
  }[];
}

export function createRateLimits(options: RateLimitsOptions): RateLimits {
  const { nowMs, ownHost, listEntryHosts } = options;
  const window = createRateWindow(nowMs);
  const agents = new Map<string, AgentRecord>();
  const reserveShares = new Map<string, number>();
  const askedAtMsById = new Map<number, number>();
  let lastAskId = 0;

  function readReserveShare(id: string, coldLimitPerS: number): number {
    const others = listEntryHosts();
    // Without the list this entry could take the part of another one.
    if (others === undefined) return 0;
    const key = `${id} ${coldLimitPerS}`;
    const cached = reserveShares.get(key);
    if (cached !== undefined) return cached;
    const share = computeReserveShare({
      reservePerS: splitColdLimit(coldLimitPerS, 0).reservePerS,
      endpointId: id,
      ownHost,
      entryHosts: [ownHost, ...others],
    });
    reserveShares.set(key, share);
    return share;
  }

  function findAgent(address: string): AgentRecord | undefined {
    const record = agents.get(address);
    const isValid = nowMs() - (record?.sharedAtMs ?? 0) < SHARE_VALID_MS;
    return isValid ? record : undefined;
  }

  function readLimit(
    { id, address }: LimitedEndpoint,
    coldLimitPerS: number,
  ): number {
    if (coldLimitPerS === Infinity) return Infinity;
    const record = findAgent(address);
    if (record === undefined) return readReserveShare(id, coldLimitPerS);
    const now = nowMs();
    record.loans = record.loans.filter((loan) => loan.validUntilMs > now);
    const loanPerS = Math.max(0, ...record.loans.map((loan) => loan.ratePerS));
    return record.sharePerS + loanPerS;
  }

  function askForMore({ address }: LimitedEndpoint, recent: number) {
    const record = findAgent(address);
    const now = nowMs();
    if (record === undefined || now - record.askedAtMs < ASK_INTERVAL_MS) {
      return;
    }
    record.askedAtMs = now;
    lastAskId += 1;
    askedAtMsById.set(lastAskId, now);
    record.agent.sendNotice({
      topic: "rate_ask",
      askId: lastAskId,
      ratePerS: recent * ASK_GROWTH,
    });
  }

  return {
    countFree: (endpoint, coldLimitPerS) =>
      readLimit(endpoint, coldLimitPerS) - window.recent(endpoint.id),
    count(endpoint, coldLimitPerS) {
      if (coldLimitPerS === Infinity) return;
      window.count(endpoint.id);
      const recent = window.recent(endpoint.id);
      if (recent >= readLimit(endpoint, coldLimitPerS) * ASK_USED_PART) {
        askForMore(endpoint, recent);
      }
    },
    isReachable: (endpoint, coldLimitPerS) =>
      findAgent(endpoint.address) !== undefined ||
      readLimit(endpoint, coldLimitPerS) > 0,
    onShare(address, sharePerS, agent) {
      if (sharePerS === undefined) return;
      const record = agents.get(address);
      if (record === undefined || record.agent !== agent) {
        agents.set(address, {
          agent,
          sharePerS,
          sharedAtMs: nowMs(),
          askedAtMs: -Infinity,
          loans: record?.loans ?? [],
        });
        return;
      }
      record.sharePerS = sharePerS;
      record.sharedAtMs = nowMs();
    },
    onGrant({ askId, address, ratePerS }) {
      const askedAtMs = askedAtMsById.get(askId);
      askedAtMsById.delete(askId);
      const record = agents.get(address);
      if (askedAtMs === undefined || record === undefined) return;
      const validUntilMs = askedAtMs + LOAN_VALID_MS;
      record.loans = [...record.loans, { ratePerS, validUntilMs }];
    },
    onEntriesChange: () => reserveShares.clear(),
  };
}

/** The bound for all entries together; Infinity if there is none. */
export function computeColdLimit(options: {
  readonly coldRequestsPerS: number;
  readonly overageFactor: number;
  readonly slack: number;
}): number {
  const { coldRequestsPerS, overageFactor, slack } = options;
  if (coldRequestsPerS <= 0) return Infinity;
  return Math.floor(coldRequestsPerS * overageFactor + slack);
}
