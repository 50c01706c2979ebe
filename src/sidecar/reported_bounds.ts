/**
 * Combines what entries report about the publication of a version. Each entry
 * knows a lower bound of its time. A notice that waits on a full link moves it
 * later, so of one entry the earliest counts, and of several the latest. An
 * entry that has just started has only a very early bound, with which all
 * endpoints would switch at once.
 */

export interface ReportedBound {
  /** On the monotonic clock. */
  readonly publishedAtMs: number;
  /**
   * As in the notices of entries. The bound may be later than the publication
   * then, so it holds only while no entry has reported one without an outage.
   */
  readonly isAfterOutage: boolean;
}

export interface ReportedBounds {
  report(version: number, sender: string, bound: ReportedBound): void;
  /** Undefined if nobody has reported the version. */
  read(version: number): ReportedBound | undefined;
}

export function createReportedBounds(): ReportedBounds {
  const earliest = new Map<number, Map<string, ReportedBound>>();

  return {
    report(version, sender, bound) {
      const bySender =
        earliest.get(version) ?? new Map<string, ReportedBound>();
      earliest.set(version, bySender);
      const key = `${bound.isAfterOutage ? "after" : "in time"} ${sender}`;
      const former = bySender.get(key);
      if (former !== undefined && former.publishedAtMs <= bound.publishedAtMs) {
        return;
      }
      bySender.set(key, bound);
    },
    read(version) {
      const bounds = [...(earliest.get(version)?.values() ?? [])];
      const inTime = bounds.filter(({ isAfterOutage }) => !isAfterOutage);
      const usable = inTime.length > 0 ? inTime : bounds;
      return usable.length === 0
        ? undefined
        : usable.reduce((a, b) => (b.publishedAtMs > a.publishedAtMs ? b : a));
    },
  };
}
