/**
 * Requests, responses and reports on the way: each takes a time that depends on
 * the distance only.
 */

import type { Random } from "../random.ts";
import type { Deployment } from "./deployments.ts";
import type { EndpointRequest } from "./endpoint_model.ts";
import type { SimulatedEndpoint } from "./endpoints.ts";
import { computeDistance } from "./entry_policy.ts";
import type { LoadStatement } from "./entry_policy.ts";
import type { EventQueue } from "./event_queue.ts";

const ONE_WAY_MS = [1, 4, 12] as const;
const MIN_REPORT_DELAY_MS = 2;
const MAX_REPORT_DELAY_MS = 30;

/** How an attempt goes on, as the entry sees it. */
export interface AttemptEvents {
  /** With the first event, or with the response of a plain endpoint. */
  onHead(statement: LoadStatement): void;
  onEnd(longestPauseMs: number): void;
  onNotRun(statement: LoadStatement): void;
  onCut(): void;
}

export type EndpointOffer = (
  endpoint: number,
  figures: Omit<EndpointRequest, `on${string}`>,
  events: AttemptEvents,
) => void;

export function createOffer(options: {
  readonly queue: EventQueue;
  readonly deployment: Deployment;
  readonly endpoints: readonly SimulatedEndpoint[];
  /** Of the entry. */
  readonly dataCentre: number;
}): EndpointOffer {
  const { queue, deployment, endpoints, dataCentre } = options;
  return (index, figures, events) => {
    const endpoint = endpoints[index]!;
    const distance = computeDistance(
      deployment,
      dataCentre,
      endpoint.dataCentre,
    );
    const afterWay = (handle: () => void) =>
      queue.schedule(queue.nowMs() + ONE_WAY_MS[distance], handle);
    afterWay(() =>
      endpoint.offer({
        ...figures,
        onFirstEvent() {
          const statement = endpoint.statement();
          afterWay(() => events.onHead(statement));
        },
        onEnd: (pauseMs) => afterWay(() => events.onEnd(pauseMs)),
        onNotRun() {
          const statement = endpoint.statement();
          afterWay(() => events.onNotRun(statement));
        },
        onCut: events.onCut,
      }),
    );
  };
}

export function drawReportDelayMs(random: Random): number {
  const range = MAX_REPORT_DELAY_MS - MIN_REPORT_DELAY_MS;
  return MIN_REPORT_DELAY_MS + range * random();
}
