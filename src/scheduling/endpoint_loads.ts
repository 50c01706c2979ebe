/**
 * Load of each endpoint, combined from its own report, which is delayed and
 * includes the requests of all entries, and from the requests that this entry
 * has in flight there.
 */

import type { EndpointLoadNotice, Peer } from "../wire/mod.ts";

/** An older report is of no use: requests start and end in less time. */
const REPORT_VALID_MS = 3_000;
/** A report does not include requests sent less than this before it arrived. */
const REPORT_DELAY_MS = 8;

export interface RequestRecord {
  readonly sentAtMs: number;
  readonly promptTokens: number;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** True once the response head has arrived. */
  hasStarted: boolean;
}

export interface EndpointLoad {
  /** Undefined without a recent report. */
  readonly report: EndpointLoadNotice | undefined;
  /** Requests of this entry and, as far as known, of the other entries. */
  readonly requests: number;
  /** Prompt tokens that the endpoint has not processed yet. */
  readonly unreadTokens: number;
  /**
   * Round trip to the agent on the endpoint's host. Requests and aborts share
   * that link and are delayed as much. 0 while the agent is not connected.
   */
  readonly roundTripMs: number;
}

export interface EndpointLoads {
  onReport(notice: EndpointLoadNotice, sender?: ReportSender): void;
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
  report: EndpointLoadNotice | undefined;
  sender: ReportSender | undefined;
  reportedAtMs: number;
  /** Requests of the other entries when the report arrived. */
  otherEntriesRequests: number;
  otherEntriesUnstarted: number;
}

export function createEndpointLoads(nowMs: () => number): EndpointLoads {
  const records = new Map<string, LoadRecord>();

  function findOrCreate(address: string): LoadRecord {
    const found = records.get(address);
    if (found !== undefined) return found;
    const created: LoadRecord = {
      ownRequests: new Set(),
      report: undefined,
      sender: undefined,
      reportedAtMs: -Infinity,
      otherEntriesRequests: 0,
      otherEntriesUnstarted: 0,
    };
    records.set(address, created);
    return created;
  }

  function isReported(address: string): boolean {
    const record = records.get(address);
    return (
      record !== undefined && nowMs() - record.reportedAtMs < REPORT_VALID_MS
    );
  }

  /** Reports that have become too old are a sign of a full link. */
  function readRoundTripMs(address: string): number {
    const sender = records.get(address)?.sender;
    if (sender === undefined || sender.isClosed?.() === true) return 0;
    return sender.roundTripMs?.() ?? 0;
  }

  return {
    onReport(notice, sender) {
      const record = findOrCreate(notice.address);
      const now = nowMs();
      const included = [...record.ownRequests].filter(
        ({ sentAtMs }) => now - sentAtMs > REPORT_DELAY_MS,
      );
      const unstarted = included.filter(({ hasStarted }) => !hasStarted);
      record.report = notice;
      record.sender = sender;
      record.reportedAtMs = now;
      record.otherEntriesRequests = Math.max(
        0,
        notice.running + notice.waiting - included.length,
      );
      record.otherEntriesUnstarted = Math.max(
        0,
        notice.waiting - unstarted.length,
      );
    },
    read(address, { usualPromptTokens }) {
      const record = records.get(address);
      if (record === undefined) {
        return {
          report: undefined,
          requests: 0,
          unreadTokens: 0,
          roundTripMs: 0,
        };
      }
      const isRecent = nowMs() - record.reportedAtMs < REPORT_VALID_MS;
      const ownUnreadTokens = [...record.ownRequests].reduce(
        (sum, item) => sum + (item.hasStarted ? 0 : item.promptTokens),
        0,
      );
      const otherEntriesUnreadTokens =
        record.otherEntriesUnstarted * usualPromptTokens;
      return {
        report: isRecent ? record.report : undefined,
        requests:
          record.ownRequests.size +
          (isRecent ? record.otherEntriesRequests : 0),
        unreadTokens:
          ownUnreadTokens + (isRecent ? otherEntriesUnreadTokens : 0),
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
      record.ownRequests.add(request);
      return {
        markStarted() {
          request.hasStarted = true;
        },
        end: () => void record.ownRequests.delete(request),
      };
    },
  };
}
