/** Baseline policy: each agent downloads all chunks from the store in order. */

import { decideToWait } from "./policy.ts";
import type { Decision, TransferView } from "./policy.ts";

export function decideFromStore(view: TransferView): Decision {
  if (view.source.kind !== "store") return decideToWait(view);
  for (let index = 0; index < view.chunkCount; index += 1) {
    if (view.needsRequest(index)) return { type: "fetch", index };
  }
  return decideToWait(view);
}
