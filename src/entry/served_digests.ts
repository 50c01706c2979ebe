/** Model versions that a response of a service may come from. */

import type { EnvironmentDocument } from "../document/mod.ts";
import type { AcceptedConfig } from "../membership/mod.ts";
import type { Call } from "./call.ts";
import type { EntryContext } from "./entry_context.ts";

/** Undefined for a plain service. */
export function listVersionDigests(
  document: EnvironmentDocument,
  serviceName: string,
): ReadonlySet<string> | undefined {
  const service = document.services.find(({ name }) => name === serviceName);
  if (service?.kind !== "language") return undefined;
  const model = document.models.find(({ name }) => name === service.model);
  return new Set(model?.versions.map(({ digest }) => digest));
}

/** Also checks the current document, which may list a new version. */
export function isDigestServed(
  { node }: EntryContext,
  { request }: Call,
  { digest, config }: { digest: string; config: AcceptedConfig },
): boolean {
  if (request.service.kind === "plain") return true;
  const { name } = request.service;
  const current = node.view.config()?.document ?? config.document;
  return [config.document, current].some((document) =>
    listVersionDigests(document, name)?.has(digest),
  );
}
