/** The baseline: each agent downloads every chunk from the store, in order. */

import { wait } from "./policy.ts";
import type { Decision, TransferView } from "./policy.ts";

export function decideFromStore(view: TransferView): Decision {
  if (view.source.kind !== "store") return wait(view);
  for (let index = 0; index < view.chunkCount; index += 1) {
    if (view.isWanted(index)) return { type: "fetch", index };
  }
  return wait(view);
}
