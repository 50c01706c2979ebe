/** Schemas of values that several settings files share. */

import { isIP } from "node:net";
import * as z from "zod";

const MAX_PORT = 65_535;

export const nameField = z
  .string()
  .refine((text) => /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/.test(text), {
    error: "A name has letters, digits, '.', '_' and '-', at most 63",
    params: {
      fix: "Use the name in the host list or the environment document",
    },
  });

/** Port 0 lets the operating system choose a free port. */
export const listenAddressField = createAddressField(0);
export const peerAddressField = createAddressField(1);

export const urlField = z.string().refine(isIpUrl, {
  error: "Expected an HTTP URL with an IP address",
  params: { fix: "Write a URL such as http://127.0.0.1:8080" },
});

export const millisecondsField = z.int().gt(0).max(86_400_000);
export const bytesField = z.int().gt(0);
export const rateField = z.number().gt(0);

function createAddressField(minPort: number) {
  return z.string().refine((text) => isIpAndPort(text, minPort), {
    error: "Expected an IP address and a port",
    params: { fix: "Write an address such as 127.0.0.1:8080 or [::1]:8080" },
  });
}

/** Whether `text` is "IP:port"; an IPv6 address is in square brackets. */
export function isIpAndPort(text: string, minPort = 1): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  const [, ipv6 = "", ipv4 = "", port = ""] = match;
  return (
    (isIP(ipv6) === 6 || isIP(ipv4) === 4) &&
    Number(port) >= minPort &&
    Number(port) <= MAX_PORT
  );
}

function isIpUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const { protocol, hostname } = new URL(text);
  return (
    (protocol === "http:" || protocol === "https:") &&
    isIP(hostname.replace(/^\[|\]$/g, "")) !== 0
  );
}
