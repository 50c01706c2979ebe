/** This host's entry in the platform's host list. */

import type { Host } from "../membership/mod.ts";
import type { Node } from "../node/mod.ts";

const WILDCARD_ADDRESS = /^(0\.0\.0\.0|::|\[::\]):/;

export function findOwnListing({
  view,
  identity,
}: Pick<Node, "view" | "identity">): Host | undefined {
  return view.hosts().hosts.find(({ name }) => name === identity.host);
}

/**
 * True if the list has another address for this host's name. It belongs to a
 * replacement or, for a short time after a start, to the predecessor.
 */
export function isListedAtOtherAddress(node: Node): boolean {
  const listing = findOwnListing(node);
  if (listing === undefined) return false;
  const { peerAddress } = node;
  if (!WILDCARD_ADDRESS.test(peerAddress)) {
    return listing.peerAddress !== peerAddress;
  }
  return readPort(listing.peerAddress) !== readPort(peerAddress);
}

function readPort(address: string): string {
  return address.slice(address.lastIndexOf(":") + 1);
}
