/** Finds the client account of an API key. */

import { createHash } from "node:crypto";
import type { ClientAccount, EnvironmentDocument } from "../document/mod.ts";

type AccountsByHash = ReadonlyMap<string, ClientAccount>;

const accountsOf = new WeakMap<EnvironmentDocument, AccountsByHash>();

/** `authorization` is the value of the header, "Bearer KEY". */
export function findAccount(
  document: EnvironmentDocument,
  authorization: string | undefined,
): ClientAccount | undefined {
  const key = /^Bearer +(\S+)$/i.exec(authorization ?? "")?.[1];
  if (key === undefined) return undefined;
  const hash = createHash("sha256").update(key).digest("hex");
  return readAccounts(document).get(hash);
}

function readAccounts(document: EnvironmentDocument): AccountsByHash {
  const found = accountsOf.get(document);
  if (found !== undefined) return found;
  const accounts = new Map(
    document.clientAccounts.map((account) => [
      account.apiKeySha256.toLowerCase(),
      account,
    ]),
  );
  accountsOf.set(document, accounts);
  return accounts;
}
