/**
 * Quarantine of prompt parts that crash each endpoint that begins to answer a
 * request with them. No two such requests are equal, and each crash also breaks
 * off requests that only ran beside it, so a part is judged by what its
 * requests have in common: it is in the broken requests of several crashes, and
 * none of its requests has run to an answer. Entries share this evidence. From
 * time to time one entry lets one request try a quarantined part again.
 */

import type { Logger } from "../logging/mod.ts";
import type { PartQuarantinedNotice, PromptPartNotice } from "../wire/mod.ts";
import { createCrashIncidents } from "./crash_incidents.ts";
import type { BrokenRequest } from "./crash_incidents.ts";
import { findCrashCauses } from "./find_crash_causes.ts";
import type { PartEvidence } from "./find_crash_causes.ts";
import { createSurvivedParts } from "./survived_parts.ts";

/** A single crash can have any cause. */
const CRASHES_OF_UNKNOWN_PART = 2;
/**
 * Requests with a popular part run at many endpoints, so that some are broken
 * off at nearly every crash.
 */
const CRASHES_OF_SURVIVED_PART = 5;
/** Until then an entry cannot tell which parts are unknown. */
const MIN_SURVIVED_REQUESTS = 50;
const INITIAL_PERIOD_MS = 15_000;
const PERIOD_FACTOR = 4;
const MAX_PERIOD_MS = 10 * 60 * 1_000;
/** Time for the outcome of a trial, before another entry may start one. */
const TRIAL_MS = 5_000;
const MAX_TRIAL_RANK = 12;
/** A part that nobody has requested for this long is forgotten. */
const IDLE_TTL_MS = 10 * 60 * 1_000;
const MAX_QUARANTINED = 256;

export interface PartRefusal {
  readonly part: string;
  readonly remainingMs: number;
}

export interface PromptPartQuarantine {
  /** The endpoint has ended while it ran the request. */
  recordCrash(broken: BrokenRequest): void;
  /** A request with these parts has run without a crash. */
  recordSurvival(parts: readonly string[]): void;
  /**
   * Returns why a new request with these parts is refused. If it is not
   * refused although one of them is quarantined, the request is its trial.
   */
  checkRequest(parts: readonly string[]): PartRefusal | undefined;
  isQuarantined(parts: readonly string[]): boolean;
  /** Calls `handle` once a part becomes quarantined, until it is removed. */
  watch(parts: readonly string[], handle: () => void): { close(): void };
  /** Returns true if the notice was new and should be forwarded. */
  applyNotice(notice: PromptPartNotice): boolean;
  /** Notices of the present state, for a new peer. */
  listNotices(): readonly PromptPartNotice[];
}

export interface PromptPartQuarantineOptions {
  readonly nowMs: () => number;
  /** Sends a notice to the other entries. */
  readonly send: (notice: PromptPartNotice) => void;
  /** Place of this entry among all entries in the order of trials. */
  readonly rankForTrial: (part: string) => number;
  readonly logger: Logger;
}

interface QuarantinedPart {
  readonly part: string;
  periodMs: number;
  sinceMs: number;
  dueAtMs: number;
  /** True while it follows from the crashes that this entry knows of. */
  isOwn: boolean;
  isOnTrial: boolean;
}

interface Watcher {
  readonly parts: readonly string[];
  readonly handle: () => void;
}

export function createPromptPartQuarantine(
  options: PromptPartQuarantineOptions,
): PromptPartQuarantine {
  const { nowMs, send, rankForTrial, logger } = options;
  const incidents = createCrashIncidents(nowMs);
  const survived = createSurvivedParts(nowMs);
  const quarantined = new Map<string, QuarantinedPart>();
  const watchers = new Set<Watcher>();

  function findQuarantined(parts: readonly string[]) {
    return parts.flatMap((part) => quarantined.get(part) ?? []);
  }

  function findCauses() {
    // Verdicts of this entry are reached again, with all evidence.
    const known = [...quarantined.values()].filter(({ isOwn }) => !isOwn);
    const isInformed = survived.countRequests() >= MIN_SURVIVED_REQUESTS;
    return findCrashCauses(incidents.list(), {
      lastSurvivedAtMs: survived.lastAtMs,
      minCrashes: (part) =>
        isInformed && survived.lastAtMs(part) === -Infinity
          ? CRASHES_OF_UNKNOWN_PART
          : CRASHES_OF_SURVIVED_PART,
      known: known.map(({ part }) => part),
    });
  }

  function quarantine(found: QuarantinedPart, evidence?: PartEvidence) {
    const { part } = found;
    quarantined.set(part, found);
    [...quarantined.keys()]
      .slice(0, Math.max(0, quarantined.size - MAX_QUARANTINED))
      .forEach((oldest) => quarantined.delete(oldest));
    logger.warn(
      {
        part,
        crashes: evidence?.crashes,
        requests: evidence?.requests,
        remainingMs: Math.round(found.dueAtMs - nowMs()),
        survivedRequests: survived.countRequests(),
      },
      "prompt part quarantined",
    );
    [...watchers]
      .filter(({ parts }) => parts.includes(part))
      .forEach(({ handle }) => handle());
  }

  function release(part: string, reason: "survived" | "other_cause") {
    quarantined.delete(part);
    logger.warn({ part, reason }, "prompt part released");
  }

  function extend(found: QuarantinedPart, crashedAtMs: number) {
    const { part, isOnTrial } = found;
    if (isOnTrial) {
      found.isOnTrial = false;
      found.isOwn = false;
      found.periodMs = Math.min(MAX_PERIOD_MS, found.periodMs * PERIOD_FACTOR);
    }
    found.sinceMs = Math.max(found.sinceMs, crashedAtMs);
    found.dueAtMs = Math.max(found.dueAtMs, crashedAtMs + found.periodMs);
    if (!isOnTrial) return;
    logger.warn({ part, periodMs: found.periodMs }, "trial ended in a crash");
  }

  function judge({ parts }: BrokenRequest, atMs: number) {
    findQuarantined(parts).forEach((found) => extend(found, atMs));
    const causes = findCauses();
    causes
      .filter(({ part }) => !quarantined.has(part))
      .forEach((evidence) => {
        const { part } = evidence;
        const found = {
          part,
          periodMs: INITIAL_PERIOD_MS,
          sinceMs: nowMs(),
          dueAtMs: nowMs() + INITIAL_PERIOD_MS,
          isOwn: true,
          isOnTrial: false,
        };
        quarantine(found, evidence);
        send(createQuarantinedNotice(found));
      });
    [...quarantined.values()]
      .filter(({ isOwn, isOnTrial }) => isOwn && !isOnTrial)
      .filter(({ part }) => incidents.isSuspect(part, -Infinity))
      .filter(({ part }) => !causes.some((cause) => cause.part === part))
      .forEach(({ part }) => release(part, "other_cause"));
  }

  function createQuarantinedNotice(
    found: QuarantinedPart,
  ): PartQuarantinedNotice {
    const { part, periodMs, dueAtMs } = found;
    const remainingMs = Math.max(0, dueAtMs - nowMs());
    return { topic: "part_quarantined", part, periodMs, remainingMs };
  }

  function adopt(notice: PartQuarantinedNotice): boolean {
    const { part } = notice;
    if (quarantined.has(part)) return false;
    const periodMs = Math.min(notice.periodMs, MAX_PERIOD_MS);
    const remainingMs = Math.min(notice.remainingMs, periodMs);
    const sinceMs = nowMs() - (periodMs - remainingMs);
    const survivedAtMs = survived.lastAtMs(part);
    const isFirstPeriod = periodMs <= INITIAL_PERIOD_MS;
    // The sender may not know that the part has been sound so far.
    if (survivedAtMs > (isFirstPeriod ? -Infinity : sinceMs)) {
      send(createSurvivedNotice([part], survivedAtMs));
      return false;
    }
    quarantine({
      part,
      periodMs,
      sinceMs,
      dueAtMs: nowMs() + remainingMs,
      isOwn: false,
      isOnTrial: false,
    });
    return true;
  }

  /** Returns the parts that were suspected or quarantined. */
  function applySurvival(
    parts: readonly string[],
    atMs: number,
  ): readonly string[] {
    const cleared = parts.filter(
      (part) =>
        quarantined.has(part) ||
        incidents.isSuspect(part, survived.lastAtMs(part)),
    );
    survived.record(parts, atMs);
    const found = findQuarantined(cleared);
    if (found.length === 0) return cleared;
    const causes = findCauses();
    found
      .filter(
        ({ part, sinceMs, periodMs }) =>
          atMs > sinceMs ||
          (periodMs <= INITIAL_PERIOD_MS &&
            !causes.some((cause) => cause.part === part)),
      )
      .forEach(({ part }) => release(part, "survived"));
    return cleared;
  }

  function createSurvivedNotice(
    parts: readonly string[],
    atMs: number,
  ): PromptPartNotice {
    const ageMs = nowMs() - atMs;
    return { topic: "part_survived", parts: [...parts], ageMs };
  }

  function computeDueAtMs({ part, dueAtMs }: QuarantinedPart): number {
    return dueAtMs + Math.min(rankForTrial(part), MAX_TRIAL_RANK) * TRIAL_MS;
  }

  function startTrial(found: QuarantinedPart) {
    found.isOnTrial = true;
    found.dueAtMs = nowMs() + TRIAL_MS;
  }

  function removeIdle() {
    [...quarantined.values()]
      .filter(({ dueAtMs }) => nowMs() - dueAtMs > IDLE_TTL_MS)
      .forEach(({ part }) => quarantined.delete(part));
  }

  return {
    recordCrash(broken) {
      if (broken.parts.length === 0) return;
      if (!incidents.record(broken, nowMs())) return;
      const parts = [...broken.parts];
      // Before the verdict, so that the others can reach it by themselves.
      send({ topic: "part_crash", ...broken, parts, ageMs: 0 });
      judge(broken, nowMs());
    },
    recordSurvival(parts) {
      if (parts.length === 0) return;
      const cleared = applySurvival(parts, nowMs());
      if (cleared.length === 0) return;
      send(createSurvivedNotice(cleared, nowMs()));
    },
    checkRequest(parts) {
      if (quarantined.size === 0) return undefined;
      removeIdle();
      const found = findQuarantined(parts);
      const waiting = found
        .map((item) => ({ item, remainingMs: computeDueAtMs(item) - nowMs() }))
        .find(({ remainingMs }) => remainingMs > 0);
      if (waiting !== undefined) {
        return { part: waiting.item.part, remainingMs: waiting.remainingMs };
      }
      found.forEach((item) => {
        const { part } = item;
        startTrial(item);
        logger.info({ part }, "trial of a quarantined prompt part");
        send({ topic: "part_trial", part });
      });
      return undefined;
    },
    isQuarantined: (parts) => findQuarantined(parts).length > 0,
    watch(parts, handle) {
      const watcher = { parts, handle };
      if (parts.length > 0) watchers.add(watcher);
      return { close: () => void watchers.delete(watcher) };
    },
    applyNotice(notice) {
      switch (notice.topic) {
        case "part_crash": {
          const atMs = nowMs() - notice.ageMs;
          const isNew = incidents.record(notice, atMs);
          if (isNew) judge(notice, atMs);
          return isNew;
        }
        case "part_quarantined":
          return adopt(notice);
        case "part_survived":
          return applySurvival(notice.parts, nowMs() - notice.ageMs).length > 0;
        case "part_trial": {
          const found = quarantined.get(notice.part);
          if (found === undefined || found.isOnTrial) return false;
          startTrial(found);
          return true;
        }
      }
    },
    listNotices: () => [
      ...incidents.listRequests().map(({ endpoint, request, parts, atMs }) => ({
        topic: "part_crash" as const,
        endpoint,
        request,
        parts: [...parts],
        ageMs: nowMs() - atMs,
      })),
      ...[...quarantined.values()].map(createQuarantinedNotice),
    ],
  };
}
