/** The connection to the one host that may run an idempotency key. */

import type { EnvironmentDocument, PlainService } from "../document/mod.ts";
import { chooseRunner, createKey } from "../idempotency/mod.ts";
import type { Node } from "../node/mod.ts";
import type { Peer } from "../wire/mod.ts";

/**
 * With one of three runners reachable, fewer than one in 10^11 searches of
 * this length finds no key.
 */
const MAX_KEY_TRIES = 64;

/** Undefined unless work may be sent to the host now. */
export function findRunner(
  node: Node,
  document: EnvironmentDocument,
  runner: string,
): Peer | undefined {
  const peer = node.findPeer(runner);
  if (peer === undefined || peer.isClosed()) return undefined;
  const dataCentre = document.dataCentres.find(
    ({ name }) => name === peer.hello.dataCentre,
  );
  if (dataCentre === undefined || dataCentre.out) return undefined;
  const listed = node.view.hosts().hosts.find(({ name }) => name === runner);
  return listed?.state === "leaving" ? undefined : peer;
}

/** A new key whose runner can be reached, if one is found. */
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
      const isReachable = runner && findRunner(node, document, runner);
      return isReachable ? key : undefined;
    },
    undefined,
  );
}
