/** Listening at an address of the settings. */

import type { AddressInfo, Server } from "node:net";

/**
 * Listens at "IP:port", with an IPv6 address in square brackets. Rejects if the
 * address cannot be bound.
 */
export function listenAt(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

/** The inverse of `splitAddress`, for an address that a server is bound to. */
export function formatAddress({ address, port, family }: AddressInfo): string {
  return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}

export function splitAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const colonIndex = address.lastIndexOf(":");
  return {
    host: address.slice(0, colonIndex).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colonIndex + 1)),
  };
}
