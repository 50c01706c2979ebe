/** What the models of endpoints have in common, and their queue. */

import type { EventQueue } from "./event_queue.ts";

/** A request at an endpoint. Exactly one of the last three is called. */
export interface EndpointRequest {
  readonly promptTokens: number;
  readonly eventCount: number;
  /** Of a plain request. */
  readonly workMs: number;
  /** The request header: 0 first. */
  readonly priority: number;
  readonly deadlineMs: number;
  onFirstEvent(): void;
  onEnd(longestPauseMs: number): void;
  onNotRun(): void;
  /** Its deadline has passed while it ran. */
  onCut(): void;
}

export interface EndpointModel {
  offer(request: EndpointRequest): void;
  running(): number;
  waiting(): number;
}

export interface EndpointModelOptions {
  readonly queue: EventQueue;
  /** Factor by which work takes longer than usual. */
  readonly readSlowdown: () => number;
}

export interface WaitingRequests {
  readonly size: () => number;
  /** Calls `onNotRun` at once if it does not fit, and at its deadline. */
  add(request: EndpointRequest): void;
  /** The most urgent one, of these the first that arrived. */
  shift(): EndpointRequest | undefined;
}

export function createWaitingRequests(
  queue: EventQueue,
  maxWaiting: number,
): WaitingRequests {
  const waiting: EndpointRequest[] = [];

  function remove(request: EndpointRequest) {
    const index = waiting.indexOf(request);
    if (index < 0) return;
    waiting.splice(index, 1);
    request.onNotRun();
  }

  return {
    size: () => waiting.length,
    add(request) {
      if (waiting.length >= maxWaiting) return request.onNotRun();
      const behind = waiting.findIndex(
        ({ priority }) => priority > request.priority,
      );
      waiting.splice(behind < 0 ? waiting.length : behind, 0, request);
      queue.schedule(request.deadlineMs, () => remove(request));
    },
    shift: () => waiting.shift(),
  };
}
