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
import type { CrashCause } from "./find_crash_causes.ts";
import {
  createQuarantinedParts,
  INITIAL_PERIOD_MS,
} from "./quarantined_parts.ts";
import type {
  PartRefusal,
  PartVerdict,
  QuarantinedPart,
} from "./quarantined_parts.ts";
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
/**
 * All entries have reported what a crash broke off by then. Before, a part that
 * only ran beside the crashing one can be in more of the known crashes.
 */
const VERDICT_DELAY_MS = 60;
/**
 * For a part that has survived before: a total outage of another cause looks
 * the same, and nothing can survive while the part is refused.
 */
const SURVIVED_PART_PERIOD_MS = 3_000;
/**
 * A survival that is newer by less is not news: the time that notices take on
 * their way adds to their age.
 */
const MIN_SURVIVAL_STEP_MS = 1_000;
/** Interval at which entries tell each other that a suspect has survived. */
const SURVIVAL_INTERVAL_MS = 5_000;

export interface PromptPartQuarantine {
  /** The endpoint has ended while it ran the request. */
  recordCrash(broken: BrokenRequest): void;
  /** A request with these parts has run without a crash. */
  recordSurvival(parts: readonly string[]): void;
  /**
   * Returns why a new request with these parts is refused. A request that is
   * not refused although one of them is quarantined is its trial.
   */
  checkRequest(parts: readonly string[]): PartRefusal | undefined;
  /** A new request with these parts is sent to an endpoint. */
  recordSend(parts: readonly string[]): void;
  /**
   * True if one of the parts is quarantined or would be by what is known now,
   * so that no retry is spent on the request.
   */
  isSuspected(parts: readonly string[]): boolean;
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
  readonly schedule: (handle: () => void, delayMs: number) => void;
  readonly logger: Logger;
}

interface Watcher {
  readonly parts: readonly string[];
  readonly handle: () => void;
}

export function createPromptPartQuarantine(
  options: PromptPartQuarantineOptions,
): PromptPartQuarantine {
  const { nowMs, send, rankForTrial, schedule, logger } = options;
  const incidents = createCrashIncidents(nowMs);
  const survived = createSurvivedParts(nowMs);
  const quarantined = createQuarantinedParts({ nowMs, rankForTrial });
  const watchers = new Set<Watcher>();
  // Suspects whose survival is known to the others, with the time of the notice.
  const announcedAtMs = new Map<string, number>();
  let isVerdictDue = false;

  function findCauses() {
    // Verdicts of this entry are reached again, with all evidence.
    const known = quarantined.list().filter(({ isOwn }) => !isOwn);
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

  function quarantine(verdict: PartVerdict, evidence?: CrashCause) {
    const { part, rivals } = verdict;
    quarantined.add(verdict);
    logger.warn(
      {
        part,
        crashes: evidence?.crashes,
        requests: evidence?.requests,
        rivals,
        remainingMs: Math.round(verdict.dueAtMs - nowMs()),
        survivedRequests: survived.countRequests(),
      },
      "prompt part quarantined",
    );
    endWatched(part);
  }

  function endWatched(part: string) {
    [...watchers]
      .filter(({ parts }) => parts.includes(part))
      .forEach(({ handle }) => handle());
  }

  /** Sent before the verdicts of entries that have not seen the parts. */
  function announceSurvived(parts: readonly string[]) {
    const oldestMs = nowMs() - SURVIVAL_INTERVAL_MS;
    [...announcedAtMs]
      .filter(([, atMs]) => atMs < oldestMs)
      .forEach(([part]) => announcedAtMs.delete(part));
    parts
      .filter((part) => survived.lastAtMs(part) !== -Infinity)
      .filter((part) => !announcedAtMs.has(part))
      .forEach((part) => {
        announcedAtMs.set(part, nowMs());
        send(createSurvivedNotice([part], survived.lastAtMs(part)));
      });
  }

  function release(part: string, reason: "survived" | "other_cause") {
    quarantined.delete(part);
    logger.warn({ part, reason }, "prompt part released");
  }

  /** True if the crash broke off another quarantined part as well. */
  function isExplainedByOther(endpoint: string, part: string): boolean {
    return incidents.hasPart(
      endpoint,
      listOthers(part).map((other) => other.part),
    );
  }

  function listOthers(part: string): readonly QuarantinedPart[] {
    return quarantined.list().filter((other) => other.part !== part);
  }

  function recordQuarantinedCrash(
    { part }: QuarantinedPart,
    { endpoint, atMs }: { readonly endpoint: string; readonly atMs: number },
  ) {
    const hasOtherCause = isExplainedByOther(endpoint, part);
    const isDecided = quarantined.recordCrash(part, { atMs, hasOtherCause });
    if (!isDecided) return;
    const [found] = quarantined.find([part]);
    logger.warn({ part, periodMs: found?.periodMs }, "trial ended in a crash");
    endWatched(part);
  }

  function judge({ parts, endpoint }: BrokenRequest, atMs: number) {
    announceSurvived(parts);
    quarantined
      .find(parts)
      .forEach((found) => recordQuarantinedCrash(found, { endpoint, atMs }));
    if (isVerdictDue) return;
    isVerdictDue = true;
    schedule(decide, VERDICT_DELAY_MS);
  }

  function decide() {
    isVerdictDue = false;
    const causes = findCauses();
    causes
      .filter(({ part }) => !quarantined.has(part))
      .forEach((evidence) => {
        const { part, rivals } = evidence;
        const periodMs =
          survived.lastAtMs(part) === -Infinity
            ? INITIAL_PERIOD_MS
            : SURVIVED_PART_PERIOD_MS;
        const verdict = {
          part,
          rivals,
          periodMs,
          sinceMs: nowMs(),
          dueAtMs: nowMs() + periodMs,
          isOwn: true,
        };
        quarantine(verdict, evidence);
        send(createQuarantinedNotice(verdict));
      });
    quarantined
      .list()
      .filter(({ isOwn, isOnTrial }) => isOwn && !isOnTrial)
      .filter(({ part }) => !causes.some((cause) => cause.part === part))
      .filter(({ part }) => hasOtherCause(part))
      .forEach(({ part }) => {
        release(part, "other_cause");
        send({ topic: "part_released", part });
      });
  }

  /** True if another quarantined part explains some crashes with the part. */
  function hasOtherCause(part: string): boolean {
    const others = listOthers(part);
    return incidents
      .list()
      .some(
        ({ requestsByPart }) =>
          requestsByPart.has(part) &&
          others.some((other) => requestsByPart.has(other.part)),
      );
  }

  function createQuarantinedNotice({
    part,
    periodMs,
    dueAtMs,
    rivals,
  }: PartVerdict): PartQuarantinedNotice {
    return {
      topic: "part_quarantined",
      part,
      periodMs,
      remainingMs: Math.max(0, dueAtMs - nowMs()),
      rivals: [...rivals],
    };
  }

  function adopt(notice: PartQuarantinedNotice): boolean {
    const { part, rivals, periodMs } = notice;
    const remainingMs = Math.min(notice.remainingMs, periodMs);
    const verdict = {
      part,
      rivals,
      periodMs,
      sinceMs: nowMs() - (periodMs - remainingMs),
      dueAtMs: nowMs() + remainingMs,
      isOwn: false,
    };
    if (quarantined.has(part)) return quarantined.prolong(part, verdict);
    const survivedAtMs = survived.lastAtMs(part);
    const isFirstPeriod = periodMs <= INITIAL_PERIOD_MS;
    // The sender may not know that the part has been sound before the crashes.
    if (survivedAtMs > (isFirstPeriod ? -Infinity : verdict.sinceMs)) {
      send(createSurvivedNotice([part], survivedAtMs));
      return false;
    }
    quarantine(verdict);
    return true;
  }

  /** Returns the parts that other entries may suspect. */
  function findDoubted(parts: readonly string[]): readonly string[] {
    return parts.filter(
      (part) =>
        quarantined.has(part) ||
        incidents.isSuspect(part, survived.lastAtMs(part)),
    );
  }

  /** To be called once the survival is recorded. */
  function releaseSurvived(parts: readonly string[], atMs: number) {
    const found = quarantined.find(parts);
    if (found.length === 0) return;
    const causes = findCauses();
    found
      .filter(
        ({ part, sinceMs, periodMs }) =>
          atMs > sinceMs ||
          (periodMs <= INITIAL_PERIOD_MS &&
            !causes.some((cause) => cause.part === part)),
      )
      .forEach(({ part }) => release(part, "survived"));
  }

  function applySurvival(parts: readonly string[], atMs: number): boolean {
    const isNew = findDoubted(parts).some(
      (part) => atMs - survived.lastAtMs(part) > MIN_SURVIVAL_STEP_MS,
    );
    survived.record(parts, atMs);
    parts.forEach((part) => announcedAtMs.set(part, nowMs()));
    releaseSurvived(parts, atMs);
    return isNew;
  }

  function createSurvivedNotice(
    parts: readonly string[],
    atMs: number,
  ): PromptPartNotice {
    const ageMs = nowMs() - atMs;
    return { topic: "part_survived", parts: [...parts], ageMs };
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
      const doubted = findDoubted(parts);
      survived.recordRequest(parts);
      if (doubted.length === 0) return;
      releaseSurvived(doubted, nowMs());
      send(createSurvivedNotice(doubted, nowMs()));
    },
    checkRequest: (parts) => quarantined.findRefusal(quarantined.find(parts)),
    recordSend(parts) {
      quarantined
        .find(parts)
        .map(({ part }) => part)
        .filter(quarantined.startTrial)
        .forEach((part) => {
          logger.info({ part }, "trial of a quarantined prompt part");
          send({ topic: "part_trial", part });
        });
    },
    isSuspected: (parts) =>
      quarantined.find(parts).length > 0 ||
      (parts.some((part) => incidents.isSuspect(part, -Infinity)) &&
        findCauses().some(({ part }) => parts.includes(part))),
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
        case "part_released": {
          const [found] = quarantined.find([notice.part]);
          if (found === undefined) return false;
          // A verdict of this entry follows from what it knows itself.
          if (found.isOwn || found.periodMs > INITIAL_PERIOD_MS) return false;
          release(notice.part, "other_cause");
          return true;
        }
        case "part_survived":
          return applySurvival(notice.parts, nowMs() - notice.ageMs);
        case "part_trial":
          return quarantined.startTrial(notice.part);
      }
    },
    // Evidence comes last, so that it is read with what explains it.
    listNotices() {
      const requests = incidents.listRequests();
      const suspects = new Set(requests.flatMap(({ parts }) => parts));
      return [
        ...[...suspects]
          .filter((part) => survived.lastAtMs(part) !== -Infinity)
          .map((part) => createSurvivedNotice([part], survived.lastAtMs(part))),
        ...quarantined.list().map(createQuarantinedNotice),
        ...requests.map(({ endpoint, request, parts, atMs }) => ({
          topic: "part_crash" as const,
          endpoint,
          request,
          parts: [...parts],
          ageMs: nowMs() - atMs,
        })),
      ];
    },
  };
}
