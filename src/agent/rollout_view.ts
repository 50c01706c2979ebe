/** The roll-out's view of the configuration and of the other agents. */

import type { Node } from "../node/mod.ts";
import type { RolloutTarget, SwitchView } from "../rollout/mod.ts";
import { chooseWeightPeers } from "../weights/mod.ts";
import type { WeightPeer, WeightDistributor } from "../weights/mod.ts";
import { findService, findServingVersion } from "./service_config.ts";

/** The version that the configuration selects; undefined for plain services. */
export function readTarget(
  { view }: Node,
  serviceName: string,
): RolloutTarget | undefined {
  const config = view.config();
  if (config === undefined) return undefined;
  const service = findService(config.document, serviceName);
  const version = findServingVersion(config.document, service);
  if (service?.kind !== "language" || version === undefined) return undefined;
  return {
    model: service.model,
    manifestDigest: version.digest,
    sizeBytes: version.sizeBytes,
    configVersion: config.version,
  };
}

export interface SwitchViewOptions {
  readonly node: Pick<Node, "view" | "identity">;
  readonly weights: Pick<WeightDistributor, "peers">;
  readonly service: string;
}

/**
 * The agents of the same service and data centre that the switch decision
 * considers: those that this agent should be connected to and those that it is
 * connected to. In a data centre of up to 32 agents these are all of them.
 */
export function createSwitchViewReader(options: SwitchViewOptions) {
  const { weights, node } = options;
  const { host: ownHost } = node.identity;
  const readListedHosts = createListedHostsReader(options);

  return (
    targetDigest: string,
  ): Pick<SwitchView, "ownHost" | "hosts" | "members"> => {
    const { listed, expected } = readListedHosts();
    const peers = weights
      .peers()
      .filter(({ host }) => host !== ownHost && listed.has(host));
    const connectedHosts = peers.map(({ host }) => host);
    return {
      ownHost,
      hosts: [...new Set([...expected, ...connectedHosts, ownHost])],
      members: peers.map((peer) => describeMember(peer, targetDigest)),
    };
  };
}

/**
 * Cached per host list and configuration: ranking covers thousands of hosts.
 */
function createListedHostsReader({ node, service }: SwitchViewOptions) {
  const { view, identity } = node;
  let cachedInputs: readonly unknown[] = [];
  let cached = { listed: new Set<string>(), expected: [] as readonly string[] };

  return () => {
    const inputs = [view.hosts(), view.config()];
    if (
      inputs.every((source, i) => source === cachedInputs[i]) &&
      cachedInputs[0]
    ) {
      return cached;
    }
    cachedInputs = inputs;
    const listed = new Set(
      view
        .hosts()
        .hosts.filter(
          (host) =>
            host.role === "endpoint" &&
            host.state === "live" &&
            host.service === service &&
            host.dataCentre === identity.dataCentre,
        )
        .map(({ name }) => name),
    );
    const expected = chooseWeightPeers(view, { host: identity.host, service })
      .map(({ name }) => name)
      .filter((name) => listed.has(name));
    cached = { listed, expected };
    return cached;
  };
}

function describeMember(peer: WeightPeer, targetDigest: string) {
  const { host, phase, servingDigest, chunksHeld, chunkCount } = peer;
  const isFetchingTarget = peer.wantedDigest === targetDigest;
  return {
    host,
    isServing: phase === "cold" || phase === "warm",
    isWarm: phase === "warm",
    isTargetComplete:
      isFetchingTarget && chunkCount > 0 && chunksHeld >= chunkCount,
    ...(servingDigest === undefined ? {} : { servingDigest }),
  };
}
