/**
 * The agents beside model endpoints: they report the load to the entries that
 * use the endpoint and lend parts of its cold limit to them.
 */

import type { RateLimits } from "../../src/gateway/rate_limits.ts";
import { choosePartnerEntries } from "../../src/membership/mod.ts";
import { createRateLoans } from "../../src/sidecar/rate_loans.ts";
import type { RateLoans } from "../../src/sidecar/rate_loans.ts";
import type { Notice, Peer, RateAskNotice } from "../../src/wire/mod.ts";
import type { Random } from "../random.ts";
import type { Deployment } from "./deployments.ts";
import type { SimulatedEndpoint } from "./endpoints.ts";
import type { EntryPolicy } from "./entry_policy.ts";
import type { EventQueue } from "./event_queue.ts";
import { drawReportDelayMs } from "./network.ts";
import {
  computeColdLimitPerS,
  createDataCentreName,
  createEndpointId,
} from "./published_state.ts";

/** As in the sidecar. */
const REPORT_INTERVAL_MS = 150;
/** Reports to other data centres are this many times rarer. */
const REMOTE_INTERVALS = 4;
/** Entries have reports of all endpoints before the first call. */
const FIRST_REPORT_MS = -1_000;

export interface ReportedEntry {
  readonly name: string;
  readonly dataCentre: number;
  readonly policy: Pick<EntryPolicy, "onReport">;
  readonly rateLimits: RateLimits;
}

export interface AgentsOptions {
  readonly deployment: Deployment;
  readonly endpoints: readonly SimulatedEndpoint[];
  readonly entries: readonly ReportedEntry[];
  readonly queue: EventQueue;
  readonly random: Random;
  readonly isRunning: () => boolean;
  /** Called for each endpoint as often as it reports. */
  readonly onInterval: (endpoint: SimulatedEndpoint) => void;
}

export function startAgents(options: AgentsOptions) {
  const { endpoints, random } = options;
  const entries = options.entries.map((entry) => ({
    ...entry,
    dataCentre: createDataCentreName(entry.dataCentre),
  }));
  endpoints
    .filter(({ service }) => service === "model")
    .forEach((endpoint) => {
      const name = createEndpointId(endpoint.index);
      const dataCentre = createDataCentreName(endpoint.dataCentre);
      const partners = choosePartnerEntries({ name, dataCentre }, entries);
      const isLocal = (entry: { readonly dataCentre: string }) =>
        entry.dataCentre === dataCentre;
      startAgent(options, {
        endpoint,
        local: partners.filter(isLocal),
        remote: partners.filter((entry) => !isLocal(entry)),
        firstReportMs: FIRST_REPORT_MS + random() * REPORT_INTERVAL_MS,
      });
    });
}

type Partner = Pick<ReportedEntry, "name" | "policy" | "rateLimits">;

function startAgent(
  options: AgentsOptions,
  agent: {
    readonly endpoint: SimulatedEndpoint;
    readonly local: readonly Partner[];
    readonly remote: readonly Partner[];
    readonly firstReportMs: number;
  },
) {
  const { queue, random, deployment } = options;
  const { endpoint, local, remote } = agent;
  const partners = [...local, ...remote];
  const loans = createRateLoans({
    nowMs: queue.nowMs,
    readLimitPerS: () => computeColdLimitPerS(deployment),
    countPartners: () => partners.length,
  });
  const peers = new Map(
    partners.map((entry) => [
      entry,
      createAgentPeer(options, { loans, endpoint, entry }),
    ]),
  );
  let intervals = 0;

  function report(to: readonly Partner[]) {
    const { running, waiting } = endpoint.statement();
    const load = {
      endpoint: endpoint.index,
      isOpen: endpoint.isOpen(),
      running,
      waiting,
      slowdown: endpoint.statedSlowdown(),
    };
    const sharePerS = loans.sharePerS();
    to.forEach((entry) =>
      queue.schedule(queue.nowMs() + drawReportDelayMs(random), () => {
        entry.policy.onReport(load);
        const address = createEndpointId(endpoint.index);
        entry.rateLimits.onShare(address, sharePerS, peers.get(entry)!);
      }),
    );
  }

  function reportRegularly() {
    report(intervals % REMOTE_INTERVALS === 0 ? partners : local);
    intervals += 1;
    options.onInterval(endpoint);
    if (!options.isRunning()) return;
    queue.schedule(queue.nowMs() + REPORT_INTERVAL_MS, reportRegularly);
  }

  endpoint.onOpenChange(() => report(partners));
  queue.schedule(agent.firstReportMs, reportRegularly);
}

/** The agent as an entry's rate limits see it: it answers asks for a loan. */
function createAgentPeer(
  { queue, random }: AgentsOptions,
  {
    loans,
    endpoint,
    entry,
  }: {
    readonly loans: RateLoans;
    readonly endpoint: SimulatedEndpoint;
    readonly entry: Partner;
  },
): Peer {
  const { name, rateLimits } = entry;
  const afterWay = (handle: () => void) =>
    queue.schedule(queue.nowMs() + drawReportDelayMs(random), handle);
  const peer: Pick<Peer, "sendNotice"> = {
    sendNotice(notice: Notice) {
      const { askId, ratePerS } = notice as RateAskNotice;
      afterWay(() => {
        const grant = {
          topic: "rate_grant",
          askId,
          address: createEndpointId(endpoint.index),
          ratePerS: loans.lend(name, ratePerS),
        } as const;
        afterWay(() => rateLimits.onGrant(grant));
      });
    },
  };
  return peer as Peer;
}
