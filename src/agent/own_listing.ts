/** What the platform's host list says of this host. */

import type { Host } from "../membership/mod.ts";
import type { Node } from "../node/mod.ts";

const ANY_ADDRESS = /^(0\.0\.0\.0|::|\[::\]):/;

export function findOwnListing({
  view,
  identity,
}: Pick<Node, "view" | "identity">): Host | undefined {
  return view.hosts().hosts.find(({ name }) => name === identity.host);
}

/**
 * True if the list gives the own name another address, which is that of a
 * replacement or, for a while after a start, of the predecessor.
 */
export function isListedElsewhere(node: Node): boolean {
  const listing = findOwnListing(node);
  if (listing === undefined) return false;
  const { peerAddress } = node;
  if (!ANY_ADDRESS.test(peerAddress)) {
    return listing.peerAddress !== peerAddress;
  }
  return readPort(listing.peerAddress) !== readPort(peerAddress);
}

function readPort(address: string): string {
  return address.slice(address.lastIndexOf(":") + 1);
}
