/**
 * Load of each endpoint, combined from its own statements, which are delayed and
 * include the requests of all entries, and from the requests that this entry has
 * in flight there. Load pattern: many entries that decide at the same time by
 * the same reports, of which the last is often out of date.
 *
 * A statement is a report of the endpoint's agent or the head of a response; the
 * later one counts. Between statements the requests of the other entries are
 * expected to approach the mean of all endpoints, as the other entries also
 * prefer those with little load.
 */

import type { EndpointLoadNotice, Peer } from "../wire/mod.ts";
import { createLoadDrift, STATEMENT_VALID_MS } from "./load_drift.ts";
import type { ExpectedRequests } from "./load_drift.ts";
import { createUrgencyShares } from "./urgency_shares.ts";
import type { SharesAround } from "./urgency_shares.ts";

/** A report does not include requests sent less than this before it arrived. */
const REPORT_DELAY_MS = 8;
/** Round trips above this are those of links that hardly deliver anything. */
const MAX_ROUND_TRIP_MS = 1_000;
/**
 * Part of the more urgent requests that overtake a waiting one: others find an
 * endpoint with a free slot.
 */
const OVERTAKING_PART = 0.8;

export interface RequestRecord {
  readonly sentAtMs: number;
  readonly promptTokens: number;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** True once the response head has arrived. */
  hasStarted: boolean;
}

/** The load that a request of one urgency finds. */
export interface EndpointLoad {
  /** Undefined without a recent report. */
  readonly report: EndpointLoadNotice | undefined;
  /** Requests of this entry and, as far as known, of the other entries. */
  readonly requests: number;
  /**
   * Those of them that run or are admitted before the request, and the more
   * urgent ones that are expected to overtake it.
   */
  readonly requestsAhead: number;
  /** Prompt tokens that the endpoint reads before those of the request. */
  readonly unreadTokens: number;
  /** Standard deviation of `requests`, which others change unseen. */
  readonly requestsSpread: number;
  /** Factor by which work takes longer than usual. */
  readonly slowdown: number;
  /**
   * Round trip to the agent on the endpoint's host. Requests and aborts share
   * that link and are delayed as much. 0 while the agent is not connected.
   */
  readonly roundTripMs: number;
}

export const NO_LOAD: EndpointLoad = {
  report: undefined,
  requests: 0,
  requestsAhead: 0,
  unreadTokens: 0,
  requestsSpread: 0,
  slowdown: 1,
  roundTripMs: 0,
};

/** What a response states about the load of its endpoint. */
export interface LoadStatement {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Factor by which work takes longer than usual, if it is stated. */
  readonly slowdown?: number | undefined;
}

export interface EndpointLoads {
  onReport(notice: EndpointLoadNotice, sender?: ReportSender): void;
  /** To be called with the head of a response to a request sent then. */
  onResponse(address: string, statement: LoadStatement, sentAtMs: number): void;
  /** The load that a request of this urgency finds. */
  read(address: string, options: LoadReadOptions): EndpointLoad;
  /** As `roundTripMs` of a load. */
  readRoundTripMs(address: string): number;
  /** True if the endpoint's agent has reported within the last seconds. */
  isReported(address: string): boolean;
  /** Counts a request as in flight there until `end` is called. */
  trackRequest(address: string, request: SentRequest): TrackedRequest;
}

export interface LoadReadOptions {
  /** Stands for the prompts of requests whose size is not known. */
  readonly usualPromptTokens: number;
  readonly urgency: number;
  /** Requests that the endpoint runs at once. */
  readonly slots?: number;
  /**
   * Share of the waiting requests of other entries that are admitted first; by
   * the requests that this entry has sent if it is absent.
   */
  readonly shareAhead?: number | undefined;
}

export type SentRequest = Pick<RequestRecord, "promptTokens" | "urgency">;

/** The agent that sends an endpoint's reports. */
export type ReportSender = Pick<Peer, "roundTripMs"> &
  Partial<Pick<Peer, "isClosed">>;

export interface TrackedRequest {
  markStarted(): void;
  end(): void;
}

interface LoadRecord {
  readonly ownRequests: Set<RequestRecord>;
  /** Times at which own requests ended lately. */
  endedAtMs: readonly number[];
  report: EndpointLoadNotice | undefined;
  sender: ReportSender | undefined;
  reportedAtMs: number;
  /** When the last statement, a report or a head, was true. */
  statedAtMs: number;
  /** Waiting requests of the other entries by that statement. */
  othersWaiting: number;
  /** Names the models that the endpoint serves. */
  kind: string;
  slowdown: number;
}

export function createEndpointLoads(nowMs: () => number): EndpointLoads {
  const records = new Map<string, LoadRecord>();
  const drift = createLoadDrift(nowMs);
  const urgencyShares = createUrgencyShares(nowMs);

  function findOrCreate(address: string): LoadRecord {
    const found = records.get(address);
    if (found !== undefined) return found;
    const created: LoadRecord = {
      ownRequests: new Set(),
      endedAtMs: [],
      report: undefined,
      sender: undefined,
      reportedAtMs: -Infinity,
      statedAtMs: -Infinity,
      othersWaiting: 0,
      kind: "",
      slowdown: 1,
    };
    records.set(address, created);
    return created;
  }

  function isReported(address: string): boolean {
    const record = records.get(address);
    return (
      record !== undefined && nowMs() - record.reportedAtMs < STATEMENT_VALID_MS
    );
  }

  /** Reports that have become too old are a sign of a full link. */
  function readRoundTripMs(address: string): number {
    const sender = records.get(address)?.sender;
    if (sender === undefined || sender.isClosed?.() === true) return 0;
    return sender.roundTripMs?.() ?? 0;
  }

  /** Takes the requests of other entries from what the endpoint has stated. */
  function applyStatement(
    address: string,
    stated: { readonly running: number; readonly waiting: number },
    statedAtMs: number,
  ) {
    const record = findOrCreate(address);
    const now = nowMs();
    const roundTripMs = readRoundTripMs(address);
    const included = [...record.ownRequests].filter(
      ({ sentAtMs }) => now - sentAtMs > REPORT_DELAY_MS + roundTripMs,
    );
    const unstarted = included.filter(({ hasStarted }) => !hasStarted);
    // The statement still contains those whose end was on the way meanwhile.
    const ended = record.endedAtMs.filter((atMs) => now - atMs < roundTripMs);
    const own = included.length + ended.length;
    const count = Math.max(0, stated.running + stated.waiting - own);
    record.othersWaiting = Math.max(0, stated.waiting - unstarted.length);
    record.statedAtMs = statedAtMs;
    drift.record(address, { kind: record.kind, count, statedAtMs });
  }

  return {
    onReport(notice, sender) {
      const record = findOrCreate(notice.address);
      record.report = notice;
      record.sender = sender;
      record.kind = notice.models.map(({ name }) => name).join(" ");
      record.reportedAtMs = nowMs();
      record.slowdown = notice.slowdown;
      const delayMs = readRoundTripMs(notice.address) / 2;
      applyStatement(notice.address, notice, nowMs() - delayMs);
    },
    onResponse(address, statement, sentAtMs) {
      const record = findOrCreate(address);
      const delayMs = readRoundTripMs(address) / 2;
      const statedAtMs = Math.max(sentAtMs, nowMs() - delayMs);
      if (statedAtMs < record.statedAtMs) return;
      record.slowdown = statement.slowdown ?? record.slowdown;
      applyStatement(address, statement, statedAtMs);
    },
    read(address, options) {
      const record = records.get(address);
      if (record === undefined) return NO_LOAD;
      const now = nowMs();
      const isRecent = now - record.reportedAtMs < STATEMENT_VALID_MS;
      const isStated = now - record.statedAtMs < STATEMENT_VALID_MS;
      const others = drift.expect(address);
      const own = countOwn(record.ownRequests, options.urgency);
      const shares = urgencyShares.read(options.urgency);
      const split = splitLoad({ record, own, others, shares, options });
      return {
        report: isRecent ? record.report : undefined,
        requests: own.all + others.count,
        requestsAhead: split.requestsAhead,
        unreadTokens: split.unreadTokens,
        requestsSpread: others.spread,
        slowdown: isStated ? record.slowdown : 1,
        roundTripMs: readRoundTripMs(address),
      };
    },
    readRoundTripMs,
    isReported,
    trackRequest(address, { promptTokens, urgency }) {
      const record = findOrCreate(address);
      const request: RequestRecord = {
        sentAtMs: nowMs(),
        promptTokens,
        urgency,
        hasStarted: false,
      };
      urgencyShares.count(urgency);
      record.ownRequests.add(request);
      return {
        markStarted() {
          request.hasStarted = true;
        },
        end() {
          if (!record.ownRequests.delete(request)) return;
          const now = nowMs();
          const recent = record.endedAtMs.filter(
            (atMs) => now - atMs < MAX_ROUND_TRIP_MS,
          );
          record.endedAtMs = [...recent, now];
        },
      };
    },
  };
}

/** Finds which of the requests are admitted before one of this urgency. */
function splitLoad({
  record,
  own,
  others,
  shares,
  options,
}: {
  readonly record: LoadRecord;
  readonly own: OwnRequests;
  readonly others: ExpectedRequests;
  readonly shares: SharesAround;
  readonly options: LoadReadOptions;
}): Pick<EndpointLoad, "requestsAhead" | "unreadTokens"> {
  const requests = own.all + others.count;
  const waiting = Math.max(0, requests - (options.slots ?? Infinity));
  const othersUnstarted = Math.min(
    others.count,
    Math.max(record.othersWaiting, waiting - own.unstarted),
  );
  const shareAfter =
    options.shareAhead === undefined ? shares.after : 1 - options.shareAhead;
  const passed = Math.min(
    waiting,
    own.unstartedAfter + othersUnstarted * shareAfter,
  );
  const overtakingShare = OVERTAKING_PART * shares.before;
  const overtaking =
    ((waiting - passed) * overtakingShare) / (1 - overtakingShare);
  const othersUnread = othersUnstarted * (1 - shareAfter);
  return {
    requestsAhead: requests - passed + overtaking,
    unreadTokens:
      own.unreadTokensBefore + othersUnread * options.usualPromptTokens,
  };
}

interface OwnRequests {
  all: number;
  unstarted: number;
  /** Less urgent ones. */
  unstartedAfter: number;
  unreadTokensBefore: number;
}

function countOwn(
  requests: ReadonlySet<RequestRecord>,
  urgency: number,
): OwnRequests {
  const counted: OwnRequests = {
    all: requests.size,
    unstarted: 0,
    unstartedAfter: 0,
    unreadTokensBefore: 0,
  };
  requests.forEach((request) => {
    if (request.hasStarted) return;
    counted.unstarted += 1;
    if (request.urgency > urgency) counted.unstartedAfter += 1;
    else counted.unreadTokensBefore += request.promptTokens;
  });
  return counted;
}
