/**
 * Decides when each endpoint of a service and data centre switches. Each agent
 * decides on its own: it switches if enough other endpoints are certain to stay
 * warm, namely those that have switched and those ranked after it.
 */

import { rankByHash } from "../hashing/mod.ts";
import { countNeededEndpoints } from "./count_needed.ts";

/**
 * Without progress for this time, members that block the others are ignored.
 */
const NO_PROGRESS_TIMEOUT_MS = 60_000;
/**
 * Far longer than a configuration (0.25 s) and a notice (0.2 s) take to reach
 * the other agents, which may decide for an earlier target until then.
 */
const MAX_LAG_MS = 1_000;

export interface SwitchMember {
  readonly host: string;
  /** Serves some version, but may still be cold. */
  readonly isServing: boolean;
  readonly isWarm: boolean;
  /** Has the complete target version and may therefore switch at any time. */
  readonly isTargetComplete: boolean;
  readonly servingDigest?: string;
}

export interface SwitchView {
  readonly ownHost: string;
  readonly targetDigest: string;
  /** Time since this agent learned of the target. */
  readonly targetAgeMs: number;
  /** Hosts that the decision considers, including the own host. */
  readonly hosts: readonly string[];
  /** Last known state of the other agents; a missing one counts as not warm. */
  readonly members: readonly SwitchMember[];
  /** State of the own endpoint; "none" accepts no requests. */
  readonly ownState: "none" | "cold" | "warm";
  /** Recent load as a share of the own limit; 1 is a fully loaded endpoint. */
  readonly ownLoad: number;
}

export type SwitchDecision = "switch" | "wait_for_view" | "wait_for_warm";

export interface SwitchDecider {
  decide(view: SwitchView): SwitchDecision;
}

export function createSwitchDecider(monotonicMs: () => number): SwitchDecider {
  let targetDigest: string | undefined;
  let firstAskedAtMs = 0;
  let lastProgressAtMs = 0;
  let mostSwitched = 0;

  function recordTarget(view: SwitchView) {
    if (view.targetDigest === targetDigest) return;
    targetDigest = view.targetDigest;
    firstAskedAtMs = lastProgressAtMs = monotonicMs();
    mostSwitched = 0;
  }

  function recordProgress({ members, targetDigest: target }: SwitchView) {
    const switched = members.filter(
      ({ isServing, servingDigest }) => isServing && servingDigest === target,
    ).length;
    if (switched <= mostSwitched) return;
    mostSwitched = switched;
    lastProgressAtMs = monotonicMs();
  }

  /**
   * Agents with the weights rely on an agent that has lacked them for long.
   * Once it has them, it waits until the others know, and until it has seen
   * which of them have begun to switch.
   */
  function hasPropagated({ targetAgeMs }: SwitchView): boolean {
    const readyMs = monotonicMs() - firstAskedAtMs;
    const isReadyEarly = targetAgeMs - readyMs < NO_PROGRESS_TIMEOUT_MS / 2;
    return targetAgeMs >= MAX_LAG_MS && (isReadyEarly || readyMs >= MAX_LAG_MS);
  }

  return {
    decide(view) {
      recordTarget(view);
      recordProgress(view);
      // An endpoint that serves nothing does not reduce the capacity by
      // switching.
      if (view.ownState === "none" || view.hosts.length <= 1) return "switch";
      if (!hasPropagated(view)) return "wait_for_view";
      const isStalled =
        monotonicMs() - lastProgressAtMs >= NO_PROGRESS_TIMEOUT_MS &&
        view.targetAgeMs >= NO_PROGRESS_TIMEOUT_MS;
      return hasEnoughRemaining(view, isStalled) ? "switch" : "wait_for_warm";
    },
  };
}

/**
 * Safe with outdated views: of the agents that switch at the same time, the one
 * with the last rank relies only on endpoints that have switched or have not
 * begun to.
 */
function hasEnoughRemaining(view: SwitchView, isStalled: boolean): boolean {
  const { ownHost, targetDigest, hosts } = view;
  const ranked = rankByHash(targetDigest, hosts);
  const ownRank = ranked.indexOf(ownHost);
  const others = view.members.filter(
    ({ host }) => host !== ownHost && hosts.includes(host),
  );
  // Without traffic the others may stay cold, which must not block a roll-out.
  const isColdAllowed = view.ownState === "cold" || isStalled;
  const remaining = others
    .filter(({ isServing, isWarm }) => (isColdAllowed ? isServing : isWarm))
    .filter(
      ({ host, servingDigest, isTargetComplete }) =>
        servingDigest === targetDigest ||
        ranked.indexOf(host) > ownRank ||
        (isStalled && !isTargetComplete),
    );
  const warmCount = 1 + others.filter(({ isWarm }) => isWarm).length;
  const servingCount = 1 + others.filter(({ isServing }) => isServing).length;
  const requiredCount = countNeededEndpoints({
    endpoints: isStalled ? servingCount : hosts.length,
    // Total load in units of one endpoint, estimated from the warm endpoints.
    load: view.ownLoad * warmCount,
  });
  return remaining.length >= requiredCount;
}
