/** A plain endpoint: a number of requests run at once and each takes its time. */

import { createWaitingRequests } from "./endpoint_model.ts";
import type {
  EndpointModel,
  EndpointModelOptions,
  EndpointRequest,
} from "./endpoint_model.ts";

export interface PlainFigures {
  readonly slots: number;
  readonly maxWaiting: number;
}

export function createPlainModel(
  { slots, maxWaiting }: PlainFigures,
  { queue, readSlowdown }: EndpointModelOptions,
): EndpointModel {
  const waiting = createWaitingRequests(queue, maxWaiting);
  let running = 0;

  function start(request: EndpointRequest) {
    running += 1;
    const endAtMs = queue.nowMs() + request.workMs * readSlowdown();
    const isInTime = endAtMs <= request.deadlineMs;
    queue.schedule(Math.min(endAtMs, request.deadlineMs), () => {
      running -= 1;
      if (isInTime) {
        request.onFirstEvent();
        request.onEnd(0);
      } else {
        request.onCut();
      }
      const next = waiting.shift();
      if (next !== undefined) start(next);
    });
  }

  return {
    offer(request) {
      if (running < slots) return start(request);
      waiting.add(request);
    },
    running: () => running,
    waiting: waiting.size,
  };
}
