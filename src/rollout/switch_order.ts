/**
 * The order in which the endpoints of one service and data centre switch. Each
 * agent decides alone: it switches while enough others are sure to stay warm,
 * which are those that have switched and those that are ranked after it.
 */

import { rankByHash } from "../hashing/mod.ts";
import { countNeeded } from "./count_needed.ts";

/** Without progress for this time, members that hold up the rest do no more. */
const LATE_MS = 60_000;
/**
 * Far above the time that a configuration (0.25 s) and a notice (0.2 s) take to
 * reach the others, which may decide for an earlier target until then.
 */
const SETTLE_MS = 1_000;

export interface SwitchMember {
  readonly host: string;
  /** Serves some version, but may still be cold. */
  readonly isServing: boolean;
  readonly isWarm: boolean;
  /** Holds the whole target and may therefore switch at any time. */
  readonly isWhole: boolean;
  readonly servingDigest?: string;
}

export interface SwitchView {
  readonly ownHost: string;
  readonly targetDigest: string;
  /** Time since this agent learned of the target. */
  readonly targetAgeMs: number;
  /** Names of the agents that this one compares itself with, and its own. */
  readonly hosts: readonly string[];
  /** What is known of the other agents; a missing one counts as not warm. */
  readonly members: readonly SwitchMember[];
  /** How the own endpoint serves a version; "none" takes no work. */
  readonly ownState: "none" | "cold" | "warm";
  /** Recent share of the own limit that was in use; 1 is a full endpoint. */
  readonly ownLoad: number;
}

export type SwitchDecision = "switch" | "wait_for_view" | "wait_for_warm";

export interface SwitchOrder {
  decide(view: SwitchView): SwitchDecision;
}

export function createSwitchOrder(monotonicMs: () => number): SwitchOrder {
  let targetDigest: string | undefined;
  let askedMs = 0;
  let progressMs = 0;
  let mostSwitched = 0;

  function noteTarget(view: SwitchView) {
    if (view.targetDigest === targetDigest) return;
    targetDigest = view.targetDigest;
    askedMs = progressMs = monotonicMs();
    mostSwitched = 0;
  }

  function noteProgress({ members, targetDigest: target }: SwitchView) {
    const switched = members.filter(
      ({ isServing, servingDigest }) => isServing && servingDigest === target,
    ).length;
    if (switched <= mostSwitched) return;
    mostSwitched = switched;
    progressMs = monotonicMs();
  }

  /**
   * Others rely on an agent that lacks the weights for long. It gives them the
   * time to learn that it no longer does, and itself the time to see them go.
   */
  function isSettled({ targetAgeMs }: SwitchView): boolean {
    const waitedMs = monotonicMs() - askedMs;
    const wasWholeSoon = targetAgeMs - waitedMs < LATE_MS / 2;
    return targetAgeMs >= SETTLE_MS && (wasWholeSoon || waitedMs >= SETTLE_MS);
  }

  return {
    decide(view) {
      noteTarget(view);
      noteProgress(view);
      // An endpoint that serves nothing takes no capacity away.
      if (view.ownState === "none" || view.hosts.length <= 1) return "switch";
      if (!isSettled(view)) return "wait_for_view";
      const isLate =
        monotonicMs() - progressMs >= LATE_MS && view.targetAgeMs >= LATE_MS;
      return leavesEnough(view, isLate) ? "switch" : "wait_for_warm";
    },
  };
}

/**
 * Safe with views of any age: among those that switch at a time, the one with
 * the last rank relies on endpoints that have switched or have not begun to.
 */
function leavesEnough(view: SwitchView, isLate: boolean): boolean {
  const { ownHost, targetDigest, hosts } = view;
  const ranked = rankByHash(targetDigest, hosts);
  const ownRank = ranked.indexOf(ownHost);
  const others = view.members.filter(
    ({ host }) => host !== ownHost && hosts.includes(host),
  );
  // Without traffic the others may stay cold, which must not stop a roll-out.
  const mayBeCold = view.ownState === "cold" || isLate;
  const staying = others
    .filter(({ isServing, isWarm }) => (mayBeCold ? isServing : isWarm))
    .filter(
      ({ host, servingDigest, isWhole }) =>
        servingDigest === targetDigest ||
        ranked.indexOf(host) > ownRank ||
        (isLate && !isWhole),
    );
  const warm = 1 + others.filter(({ isWarm }) => isWarm).length;
  const serving = 1 + others.filter(({ isServing }) => isServing).length;
  const needed = countNeeded({
    endpoints: isLate ? serving : hosts.length,
    // In units of one endpoint, whichever of them carry it now.
    load: view.ownLoad * warm,
  });
  return staying.length >= needed;
}
