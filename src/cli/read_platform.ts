/** Reads the published document and the host list from the platform. */

import * as z from "zod";
import { parseDocument } from "../document/mod.ts";
import type { EnvironmentDocument } from "../document/mod.ts";
import { describeError } from "./collect_status.ts";
import type { StatusTarget } from "./collect_status.ts";
import { parseHostList } from "./host_list.ts";
import type { CommandIo } from "./io.ts";

const configSchema = z.object({ version: z.number(), value: z.string() });

export interface PlatformState {
  readonly publishedVersion?: number;
  /** Absent when the published document is invalid or cannot be read. */
  readonly document?: EnvironmentDocument;
  readonly targets: readonly StatusTarget[];
  /** Hosts without an HTTP address in the host list. */
  readonly withoutAddress: readonly string[];
  /** URLs that could not be read, each with the reason. */
  readonly failures: readonly string[];
}

export async function readPlatform(
  url: string,
  io: CommandIo,
): Promise<PlatformState> {
  const base = url.replace(/\/+$/, "");
  const [config, hosts] = await Promise.all([
    tryRead(`${base}/v1/config?after=0&wait_ms=0`, {
      io,
      parse: (value) => configSchema.safeParse(value).data,
    }),
    tryRead(`${base}/v1/hosts?after=0&wait_ms=0`, { io, parse: parseHostList }),
  ]);
  const listed = hosts.value ?? [];
  const document =
    config.value === undefined
      ? undefined
      : parseDocument(config.value.value, { file: "published" }).unwrapOr(
          undefined,
        );
  return {
    ...(config.value && { publishedVersion: config.value.version }),
    ...(document && { document }),
    targets: listed.flatMap(({ name, httpAddress }) =>
      httpAddress === undefined ? [] : [{ address: httpAddress, host: name }],
    ),
    withoutAddress: listed
      .filter(({ httpAddress }) => httpAddress === undefined)
      .map(({ name }) => name),
    failures: [config, hosts].flatMap(({ failure }) => failure ?? []),
  };
}

async function tryRead<Value>(
  url: string,
  options: {
    readonly io: CommandIo;
    readonly parse: (value: unknown) => Value | undefined;
  },
): Promise<{ value?: Value; failure?: string }> {
  try {
    const value = options.parse(await options.io.fetchJson(url));
    if (value === undefined) return { failure: `${url}: unexpected response` };
    return { value };
  } catch (error) {
    return { failure: `${url}: ${describeError(error)}` };
  }
}
