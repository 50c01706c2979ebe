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

/**
 * The runner is asked even if its data centre is out or it is leaving: it takes
 * no new work then, but it alone knows whether the key has run.
 */
export function findRunner(node: Node, runner: string): Peer | undefined {
  const peer = node.findPeer(runner);
  return peer === undefined || peer.isClosed() ? undefined : peer;
}

function takesNewWork(
  node: Node,
  document: EnvironmentDocument,
  runner: string,
): boolean {
  const peer = findRunner(node, runner);
  if (peer === undefined) return false;
  const dataCentre = document.dataCentres.find(
    ({ name }) => name === peer.hello.dataCentre,
  );
  if (dataCentre === undefined || dataCentre.out) return false;
  const listed = node.view.hosts().hosts.find(({ name }) => name === runner);
  return listed?.state !== "leaving";
}

/** A new key whose runner takes new work, if one is found. */
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
      return runner && takesNewWork(node, document, runner) ? key : undefined;
    },
    undefined,
  );
}
