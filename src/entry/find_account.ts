/** Finds the client account of an API key. */

import { createHash } from "node:crypto";
import type { ClientAccount, EnvironmentDocument } from "../document/mod.ts";

type AccountsByHash = ReadonlyMap<string, ClientAccount>;

const accountsByDocument = new WeakMap<EnvironmentDocument, AccountsByHash>();

/** `authorization` is the header value, "Bearer KEY". */
export function findAccount(
  document: EnvironmentDocument,
  authorization: string | undefined,
): ClientAccount | undefined {
  const key = /^Bearer +(\S+)$/i.exec(authorization ?? "")?.[1];
  if (key === undefined) return undefined;
  const hash = createHash("sha256").update(key).digest("hex");
  return indexAccounts(document).get(hash);
}

function indexAccounts(document: EnvironmentDocument): AccountsByHash {
  const found = accountsByDocument.get(document);
  if (found !== undefined) return found;
  const accounts = new Map(
    document.clientAccounts.map((account) => [
      account.apiKeySha256.toLowerCase(),
      account,
    ]),
  );
  accountsByDocument.set(document, accounts);
  return accounts;
}
