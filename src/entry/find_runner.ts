/** Finds the connection to the one host that may run an idempotency key. */

import type { EnvironmentDocument, PlainService } from "../document/mod.ts";
import { chooseRunner, createKey } from "../idempotency/mod.ts";
import type { Node } from "../node/mod.ts";
import type { Peer } from "../wire/mod.ts";

/**
 * If one of three runners is reachable, fewer than one in 10^11 searches with
 * this many tries finds no key.
 */
const MAX_KEY_TRIES = 64;

/**
 * Includes a runner that is leaving or whose data centre is out: it accepts no
 * new requests, but only it knows whether the key has run.
 */
export function findRunnerPeer(node: Node, runner: string): Peer | undefined {
  const peer = node.findPeer(runner);
  return peer === undefined || peer.isClosed() ? undefined : peer;
}

function acceptsNewRequests(
  node: Node,
  document: EnvironmentDocument,
  runner: string,
): boolean {
  const peer = findRunnerPeer(node, runner);
  if (peer === undefined) return false;
  const dataCentre = document.dataCentres.find(
    ({ name }) => name === peer.hello.dataCentre,
  );
  if (dataCentre === undefined || dataCentre.out) return false;
  const listed = node.view.hosts().hosts.find(({ name }) => name === runner);
  return listed?.state !== "leaving";
}

/** A new key whose runner accepts new requests, if one is found. */
export function suggestKey(
  node: Node,
  document: EnvironmentDocument,
  service: PlainService,
): string | undefined {
  return Array.from({ length: MAX_KEY_TRIES }).reduce<string | undefined>(
    (found) => {
      if (found !== undefined) return found;
      const key = createKey(Date.now());
      const runner = chooseRunner(key, service.runnerSets);
      return runner && acceptsNewRequests(node, document, runner)
        ? key
        : undefined;
    },
    undefined,
  );
}
