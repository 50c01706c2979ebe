/** Reads processor profiles of Node.js and computes the time share of files. */

import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

interface ProfileNode {
  readonly id: number;
  readonly callFrame: { readonly functionName: string; readonly url: string };
  readonly children?: readonly number[];
}

interface Profile {
  readonly nodes: readonly ProfileNode[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

const IDLE_FUNCTIONS = new Set(["(idle)", "(program)"]);

/** Time in frames of `files` and their callees, as a share of all busy time. */
export function computeTimeShare(folder: string, files: RegExp): number {
  const parts = readdirSync(folder)
    .filter((name) => name.endsWith(".cpuprofile"))
    .map((name) => readFileSync(join(folder, name), "utf8"))
    .map((text) => computeProfileTimes(JSON.parse(text) as Profile, files));
  const sum = (key: "busyUs" | "matchedUs") =>
    parts.reduce((total, part) => total + part[key], 0);
  return sum("matchedUs") / sum("busyUs");
}

function computeProfileTimes(
  { nodes, samples, timeDeltas }: Profile,
  files: RegExp,
) {
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const matched = new Set<number>();

  function markMatched(
    { id, callFrame, children = [] }: ProfileNode,
    isInsideMatch: boolean,
  ) {
    const isMatched = isInsideMatch || files.test(callFrame.url);
    if (isMatched) matched.add(id);
    children.forEach((child) => markMatched(byId.get(child)!, isMatched));
  }

  markMatched(nodes[0]!, false);
  let busyUs = 0;
  let matchedUs = 0;
  samples.forEach((id, index) => {
    if (IDLE_FUNCTIONS.has(byId.get(id)!.callFrame.functionName)) return;
    busyUs += timeDeltas[index]!;
    if (matched.has(id)) matchedUs += timeDeltas[index]!;
  });
  return { busyUs, matchedUs };
}
