/**
 * The agent on an endpoint's host, for platforms whose entries call endpoints
 * directly. It reports load, fetches weights and switches versions.
 */

import type { Logger } from "../logging/mod.ts";
import { createAgeClock } from "../directory/mod.ts";
import { createStatedLimits } from "../limits/mod.ts";
import { startMesh } from "../mesh/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { createWeightDistributor } from "../weights/mod.ts";
import type { TransferTimeouts } from "../weights/mod.ts";
import { startTrafficLog } from "../traffic/mod.ts";
import type { FleetNotice, RateAskNotice } from "../wire/mod.ts";
import { createManifestSource } from "./manifest_source.ts";
import type { EndpointApi, WeightOrigin } from "./endpoint_api.ts";
import { createFleetDocument } from "./fleet_document.ts";
import { createFleetState } from "./fleet_state.ts";
import { createLoadVerification } from "./load_verification.ts";
import { startLoadReporter } from "./load_reporter.ts";
import { createRateLoans } from "./rate_loans.ts";
import { startRequestLender } from "./request_lender.ts";
import { createOriginStore } from "./origin_store.ts";
import { startVersionUpdater } from "./version_updater.ts";

/**
 * A transfer takes 3 s on this platform and the origin can fail at any time, so
 * chunks assigned to a lost agent must be reassigned well within 3 s.
 */
const TRANSFER_TIMEOUTS: TransferTimeouts = {
  offlineGraceMs: 400,
  noProgressMs: 500,
  noChunkMs: 1_500,
  maxBackoffMs: 400,
};
/** Holds several versions of the platform's models, which are 2 MiB each. */
const WEIGHTS_MEMORY_BYTES = 32 * 1024 * 1024;

/**
 * Share of the host's link for sending weights: the endpoint's responses use
 * the same link and must not queue behind chunks.
 */
const WEIGHTS_SEND_SHARE = 0.9;

export interface SidecarSettings {
  readonly host: string;
  readonly dataCentre: string;
  readonly service: string | undefined;
  readonly peerAddress: string;
  readonly endpointAddress: string;
  readonly seeds: readonly string[];
  readonly regions: Readonly<Record<string, string>>;
  readonly hostMbitPerS: number;
  readonly regionMbitPerS: number;
  readonly switchWithinMs: number;
}

export interface SidecarOptions {
  readonly settings: SidecarSettings;
  readonly endpoint: EndpointApi;
  readonly createOrigin: (
    readAddress: () => string | undefined,
  ) => WeightOrigin;
  readonly registry: Registry;
  readonly logger: Logger;
}

export interface Sidecar {
  /** Applies the seeds of changed settings. */
  reload(settings: SidecarSettings): void;
  close(): Promise<void>;
}

export async function startSidecar(options: SidecarOptions): Promise<Sidecar> {
  const { settings, endpoint, registry, logger } = options;
  const nowMs = () => performance.now();
  const fleetState = createFleetState(settings.service, nowMs);
  const mesh = await startMesh({
    ...settings,
    role: "agent",
    readConfig: () => createFleetDocument({ fleetState, ...settings }),
    registry,
    logger,
  });
  const origin = options.createOrigin(() => fleetState.origin()?.originAddress);
  const manifests = createManifestSource({
    origin,
    isKnownToPeer: (digest) =>
      weights.peers().some(({ wantedDigest }) => wantedDigest === digest),
    logger,
  });
  const weights = createWeightDistributor({
    node: mesh,
    service: settings.service ?? "",
    store: createOriginStore({
      origin,
      manifests,
      findCurrentDigest: () => versionUpdater.currentDigest(),
      logger,
    }),
    memoryBytes: WEIGHTS_MEMORY_BYTES,
    policy: "swarm",
    timeouts: TRANSFER_TIMEOUTS,
    hostUpMbitPerS: settings.hostMbitPerS * WEIGHTS_SEND_SHARE,
    registry,
    logger,
  });
  const rateLoans = createRateLoans({
    nowMs,
    readLimitPerS: () => fleetState.ownService()?.coldLimitPerS,
    countPartners: mesh.countPartners,
  });
  const statedLimits = createStatedLimits({ nowMs, registry, logger });
  const requestLender = startRequestLender({
    address: settings.endpointAddress,
    statedLimits,
    mesh,
    nowMs,
    registry,
    logger,
  });
  const verification = createLoadVerification(nowMs);
  const reporter = startLoadReporter({
    endpoint,
    address: settings.endpointAddress,
    mesh,
    readSharePerS: rateLoans.sharePerS,
    isLoadSound: () => verification.state() === "sound",
    onReport(report, requestedAtMs) {
      verification.onReport(report, requestedAtMs);
      requestLender.onReport(report, requestedAtMs);
    },
    logger,
  });
  const versionUpdater = startVersionUpdater({
    fleetState,
    manifests,
    weights,
    endpoint,
    verification,
    reporter,
    logger,
    ownHost: settings.host,
    listMembers: () =>
      mesh.view
        .hosts()
        .hosts.filter(({ service }) => service === settings.service)
        .map(({ name }) => name),
    switchWithinMs: settings.switchWithinMs,
    nowMs,
    ageNowMs: createAgeClock().nowMs,
  });
  const trafficLog = startTrafficLog({
    registry,
    logger,
    listPeers: mesh.peers,
  });
  fleetState.onChange(() => mesh.notifyViewChange());
  mesh.onMeshNotice("fleet", (peer, notice) => {
    fleetState.update(notice as FleetNotice, peer.hello.host);
  });
  mesh.onMeshNotice("rate_ask", (peer, notice) => {
    const { askId, ratePerS: wantedPerS } = notice as RateAskNotice;
    const ratePerS = rateLoans.lend(peer.hello.host, wantedPerS);
    const address = settings.endpointAddress;
    logger.info(
      { peer: peer.hello.host, wantedPerS, ratePerS },
      "lent request rate to an entry",
    );
    peer.sendNotice({ topic: "rate_grant", askId, address, ratePerS });
  });
  return {
    reload: (next) => mesh.setSeeds(next.seeds),
    async close() {
      versionUpdater.close();
      trafficLog.close();
      reporter.close();
      requestLender.close();
      await weights.close();
      await endpoint.close();
      await mesh.close();
    },
  };
}
