/**
 * Lists the endpoints that may receive a request for one service. The host
 * list is delayed, so a connected agent that is not in the list yet is a
 * candidate. An agent that the list shows as leaving is not.
 */

import type { EnvironmentDocument, Service } from "../document/mod.ts";
import type { HostList } from "../membership/mod.ts";
import type { Peer, Phase } from "../wire/mod.ts";
import type { Candidate } from "./candidate.ts";
import type { LoadHint, LoadHints } from "./load_hints.ts";

/**
 * Distance costs are in units of load and decide between endpoints of about
 * the same load. All traffic between regions shares 15 Mbit/s, while data
 * centres of one region are only about a millisecond apart.
 */
const SAME_REGION_COST = 0.05;
const OTHER_REGION_COST = 0.25;

const USABLE_PHASES: ReadonlySet<Phase> = new Set(["unknown", "cold", "warm"]);

export interface CandidateOptions {
  readonly document: EnvironmentDocument;
  readonly hosts: HostList;
  readonly peers: readonly Peer[];
  readonly hints: LoadHints;
  /** Data centre of this entry. */
  readonly dataCentre: string;
  /** Digests of versions that may serve; undefined for a plain service. */
  readonly allowedDigests?: ReadonlySet<string> | undefined;
  /** Hosts that this request has already tried. */
  readonly triedHosts: ReadonlySet<string>;
  /** Data centres that an agent has reported as out of service. */
  readonly outDataCentres: ReadonlySet<string>;
}

export function listCandidates(
  service: Service,
  options: CandidateOptions,
): readonly Candidate[] {
  const { document, hosts, peers, hints, allowedDigests, triedHosts } = options;
  const leaving = listLeavingHosts(hosts);
  const usableRegions = new Map(
    document.dataCentres
      .filter(({ name, out }) => !out && !options.outDataCentres.has(name))
      .map(({ name, region }) => [name, region]),
  );
  const ownRegion = document.dataCentres.find(
    ({ name }) => name === options.dataCentre,
  )?.region;

  function distanceCost(dataCentre: string): number {
    if (dataCentre === options.dataCentre) return 0;
    return usableRegions.get(dataCentre) === ownRegion
      ? SAME_REGION_COST
      : OTHER_REGION_COST;
  }

  return peers
    .filter(({ hello }) => hello.role === "agent")
    .filter(({ hello }) => hello.service === service.name)
    .filter(({ hello }) => usableRegions.has(hello.dataCentre))
    .filter(
      ({ hello }) => !leaving.has(hello.host) && !triedHosts.has(hello.host),
    )
    .filter((peer) => !peer.isClosed())
    .map((peer) => ({ peer, hint: hints.read(peer) }))
    .filter(({ hint }) => isUsable(hint, allowedDigests))
    .map(({ peer, hint }) => ({
      host: peer.hello.host,
      dataCentre: peer.hello.dataCentre,
      peer,
      cost: estimateLoad(hint, service) + distanceCost(peer.hello.dataCentre),
      ...(isWarmingUp(hint) && {
        warmUp: peer.hello.dataCentre === options.dataCentre ? "near" : "far",
      }),
    }));
}

/** True if cold with a free slot by the last report and own requests since. */
function isWarmingUp({ report, sinceReport }: LoadHint): boolean {
  if (report?.phase !== "cold") return false;
  return sinceReport + report.inFlight + report.queued < report.limit;
}

const leavingHostsByList = new WeakMap<HostList, ReadonlySet<string>>();

/** Cached for each host list, which holds thousands of hosts. */
function listLeavingHosts(list: HostList): ReadonlySet<string> {
  const found = leavingHostsByList.get(list);
  if (found !== undefined) return found;
  const leaving = new Set(
    list.hosts
      .filter((host) => host.state === "leaving")
      .map((host) => host.name),
  );
  leavingHostsByList.set(list, leaving);
  return leaving;
}

function isUsable(
  { report, isLeaving }: LoadHint,
  digests: ReadonlySet<string> | undefined,
): boolean {
  if (isLeaving) return false;
  if (report === undefined) return true;
  if (!USABLE_PHASES.has(report.phase)) return false;
  const { versionDigest } = report;
  return !digests || versionDigest === undefined || digests.has(versionDigest);
}

function estimateLoad(hint: LoadHint, { admission }: Service): number {
  const { report, sinceReport, inFlight } = hint;
  if (report === undefined) {
    return (inFlight + 1) / Math.max(1, admission.coldConcurrency);
  }
  // For a cold endpoint the load includes this request: it has so few slots
  // that requests of several entries with the same old report would queue.
  const thisRequest = report.phase === "cold" ? 1 : 0;
  const load = thisRequest + sinceReport + report.inFlight + report.queued;
  return load / Math.max(1, report.limit);
}
