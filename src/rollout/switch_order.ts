/**
 * The order in which the endpoints of one service and data centre switch: in
 * groups of a quarter, ranked by hash, each agent deciding from what it knows.
 */

import { rankByHash } from "../hashing/mod.ts";

const GROUP_SHARE = 0.25;
/** A group that does not finish in this time no longer holds up the next. */
const GROUP_LIMIT_MS = 60_000;
/** Time after which an endpoint that serves while cold counts as well. */
const WARM_LIMIT_MS = 60_000;

export interface SwitchMember {
  readonly host: string;
  /** Serves some version, but may still be cold. */
  readonly isServing: boolean;
  readonly isWarm: boolean;
  readonly servingDigest?: string;
}

export interface SwitchView {
  readonly ownHost: string;
  readonly targetDigest: string;
  /** Names of the listed, not leaving agents, including this one. */
  readonly hosts: readonly string[];
  /** What is known of the other agents; a missing one counts as not warm. */
  readonly members: readonly SwitchMember[];
  /** How the own endpoint serves a version; "none" takes no work. */
  readonly ownState: "none" | "cold" | "warm";
}

export type SwitchDecision = "switch" | "wait_for_group" | "wait_for_warm";

export interface SwitchOrder {
  decide(view: SwitchView): SwitchDecision;
}

export function createSwitchOrder(monotonicMs: () => number): SwitchOrder {
  let targetDigest: string | undefined;
  // Time at which all groups before this one were first seen settled.
  let turnStartedMs: (number | undefined)[] = [];

  function decideGroup(view: SwitchView): SwitchDecision {
    const ranked = rankByHash(view.targetDigest, view.hosts);
    const size = Math.max(1, Math.ceil(ranked.length * GROUP_SHARE));
    const ownGroup = Math.floor(ranked.indexOf(view.ownHost) / size);
    for (let group = 0; group < ownGroup; group += 1) {
      const startedMs = (turnStartedMs[group] ??= monotonicMs());
      const isLate = monotonicMs() - startedMs >= GROUP_LIMIT_MS;
      const names = ranked.slice(group * size, (group + 1) * size);
      const isSettled = names.every((name) => isSwitched(view, name));
      if (!isSettled && !isLate) return "wait_for_group";
    }
    const groupNames = ranked.slice(ownGroup * size, (ownGroup + 1) * size);
    const ownStartedMs = (turnStartedMs[ownGroup] ??= monotonicMs());
    // Without traffic the others may stay cold, which must not stop a roll-out.
    const mayBeCold =
      view.ownState === "cold" || monotonicMs() - ownStartedMs >= WARM_LIMIT_MS;
    const isEnough = (member: SwitchMember) =>
      mayBeCold ? member.isServing : member.isWarm;
    const isSafe = leavesOne(view, groupNames, isEnough);
    return isSafe ? "switch" : "wait_for_warm";
  }

  return {
    decide(view) {
      if (view.targetDigest !== targetDigest) {
        targetDigest = view.targetDigest;
        turnStartedMs = [];
      }
      // An endpoint that serves nothing takes no capacity away.
      return view.ownState === "none" ? "switch" : decideGroup(view);
    },
  };
}

function isSwitched(view: SwitchView, name: string): boolean {
  const member = view.members.find(({ host }) => host === name);
  if (member === undefined) return false;
  return member.isWarm && member.servingDigest === view.targetDigest;
}

/**
 * Two members of a group may decide at the same time, so each relies only on
 * endpoints that will not switch meanwhile: those outside the group, those of
 * the group that have switched, and those ranked after it, which wait for it.
 */
function leavesOne(
  view: SwitchView,
  groupNames: readonly string[],
  isEnough: (member: SwitchMember) => boolean,
): boolean {
  if (view.hosts.length <= 1) return true;
  const ownRank = groupNames.indexOf(view.ownHost);
  return view.members
    .filter((member) => isEnough(member) && view.hosts.includes(member.host))
    .some(({ host, servingDigest }) => {
      const rank = groupNames.indexOf(host);
      const isOutside = rank === -1;
      return isOutside || rank > ownRank || servingDigest === view.targetDigest;
    });
}
