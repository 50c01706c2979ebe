/**
 * Load of each endpoint, combined from its own report, which is delayed and
 * includes the requests of all entries, and from the requests that this entry
 * has in flight there.
 */

import type { EndpointLoadNotice, Peer } from "../wire/mod.ts";

/** An older report is of no use: requests start and end in less time. */
const REPORT_VALID_MS = 3_000;
/** A report does not include requests sent less than this before it arrived. */
const REPORT_TRAVEL_MS = 8;

export interface OwnRequest {
  readonly sentAtMs: number;
  readonly promptTokens: number;
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
   * that link and are delayed as much. 0 while it is not known.
   */
  readonly roundTripMs: number;
}

export interface EndpointLoads {
  onReport(notice: EndpointLoadNotice, sender?: ReportSender): void;
  read(address: string, usualPromptTokens: number): EndpointLoad;
  /** Counts a request as in flight there until `end` is called. */
  begin(address: string, promptTokens: number): OwnLoad;
}

/** The agent that sends an endpoint's reports. */
export type ReportSender = Pick<Peer, "roundTripMs">;

export interface OwnLoad {
  onStart(): void;
  end(): void;
}

interface Entry {
  readonly own: Set<OwnRequest>;
  report: EndpointLoadNotice | undefined;
  sender: ReportSender | undefined;
  reportedAtMs: number;
  /** Requests of the other entries when the report arrived. */
  othersRequests: number;
  othersUnstarted: number;
}

export function createEndpointLoads(nowMs: () => number): EndpointLoads {
  const entries = new Map<string, Entry>();

  function find(address: string): Entry {
    const found = entries.get(address);
    if (found !== undefined) return found;
    const created: Entry = {
      own: new Set(),
      report: undefined,
      sender: undefined,
      reportedAtMs: -Infinity,
      othersRequests: 0,
      othersUnstarted: 0,
    };
    entries.set(address, created);
    return created;
  }

  return {
    onReport(notice, sender) {
      const entry = find(notice.address);
      const now = nowMs();
      const included = [...entry.own].filter(
        ({ sentAtMs }) => now - sentAtMs > REPORT_TRAVEL_MS,
      );
      const unstarted = included.filter(({ hasStarted }) => !hasStarted);
      entry.report = notice;
      entry.sender = sender;
      entry.reportedAtMs = now;
      entry.othersRequests = Math.max(
        0,
        notice.running + notice.waiting - included.length,
      );
      entry.othersUnstarted = Math.max(0, notice.waiting - unstarted.length);
    },
    read(address, usualPromptTokens) {
      const entry = entries.get(address);
      if (entry === undefined) {
        return {
          report: undefined,
          requests: 0,
          unreadTokens: 0,
          roundTripMs: 0,
        };
      }
      const isRecent = nowMs() - entry.reportedAtMs < REPORT_VALID_MS;
      const ownUnread = [...entry.own].reduce(
        (sum, item) => sum + (item.hasStarted ? 0 : item.promptTokens),
        0,
      );
      const othersUnread = entry.othersUnstarted * usualPromptTokens;
      return {
        report: isRecent ? entry.report : undefined,
        requests: entry.own.size + (isRecent ? entry.othersRequests : 0),
        unreadTokens: ownUnread + (isRecent ? othersUnread : 0),
        roundTripMs: (isRecent && entry.sender?.roundTripMs?.()) || 0,
      };
    },
    begin(address, promptTokens) {
      const entry = find(address);
      const request: OwnRequest = {
        sentAtMs: nowMs(),
        promptTokens,
        hasStarted: false,
      };
      entry.own.add(request);
      return {
        onStart() {
          request.hasStarted = true;
        },
        end: () => void entry.own.delete(request),
      };
    },
  };
}
