/**
 * Decides whether this entry reads the store itself or relies on two other
 * entries that do. Those send news at once and answer a question each second,
 * which proves the age of this entry's copy. As soon as one of the two is lost,
 * late, or without contact to the store, and no other can take its place, this
 * entry reads the store itself again. So no entry depends on another one, and
 * the calls to the store hardly grow with the number of entries.
 */

import type { Logger } from "../logging/mod.ts";
import type { Mesh } from "../mesh/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { DirectoryReplyNotice, Peer } from "../wire/mod.ts";
import {
  countReaders,
  orderReaders,
  pickSpreadPair,
  rankForEntry,
} from "./reader_order.ts";
import type { KnownEntry } from "./reader_order.ts";

/** Pause between asks until two readers have answered. */
const MIN_ASK_INTERVAL_MS = 400;
/** Reads of the store normally confirm a reader's copy about once a second. */
const CONFIRM_INTERVAL_MS = 1_000;
/** Several times the round trip between regions. */
const ANSWER_TIMEOUT_MS = 300;
/** A reader whose copy is older than this does not reach the store. */
const MAX_READER_AGE_MS = 1_500;
/** An entry that reads the store itself has a copy of at most this age. */
const MAX_OWN_AGE_MS = 1_600;
/** Each of the two readers is asked about every two seconds. */
const ANSWER_VALID_MS = 4_000;
/** A reader that did not answer in time is asked again after this time. */
const RETRY_LATE_MS = 5_000;
/**
 * Connections to readers in a fleet whose entries are not all connected. One
 * more than needed, so that one may be lost.
 */
const WANTED_READERS = 3;

export interface PeerFeed {
  isFed(): boolean;
  /** True if the peer says that it reads the store itself. */
  isReader(peer: Peer): boolean;
  /** Takes what each reply or news says about its sender. */
  onNotice(peer: Peer, notice: DirectoryReplyNotice): void;
  /** Reads the store until the readers have answered again, as after a pause. */
  reset(): void;
  close(): void;
}

export interface PeerFeedOptions {
  readonly selfHost: string;
  readonly dataCentre: string;
  readonly mesh: Pick<
    Mesh,
    "peers" | "onPeer" | "listEntries" | "view" | "addPeerChooser"
  >;
  /** Age of this entry's copy. */
  readonly ageMs: () => number;
  /** Asks for news and the age of the peer's copy; returns the ask's id. */
  readonly ask: (peer: Peer) => number;
  readonly onChange: (isFed: boolean) => void;
  readonly registry: Registry;
  readonly logger: Logger;
  readonly random: () => number;
}

interface Statement {
  readonly isReading: boolean;
  /** -Infinity if the last ask was not answered in time. */
  readonly answeredAtMs: number;
  /** When an ask was last not answered in time. */
  readonly lateAtMs: number;
  readonly askedAtMs: number;
}

interface Candidate extends KnownEntry {
  readonly peer: Peer;
}

const NO_STATEMENT: Statement = {
  isReading: false,
  answeredAtMs: -Infinity,
  lateAtMs: -Infinity,
  askedAtMs: -Infinity,
};

export function startPeerFeed(options: PeerFeedOptions): PeerFeed {
  const { selfHost, dataCentre, mesh, ask, onChange, registry, logger } =
    options;
  const statements = new Map<Peer, Statement>();
  let order: ReadonlyMap<string, number> = new Map();
  let hasOtherDataCentres = false;
  let isFed = false;
  let isClosed = false;
  let pending: { readonly peer: Peer; readonly askId: number } | undefined;
  let askTimer: NodeJS.Timeout | undefined;
  const changes = registry.counter(
    "directory_feed_changes_total",
    "Times that this entry began or ceased to rely on others, by reason",
  );
  registry.gauge(
    "directory_fed",
    "1 while this entry relies on others for the published state",
    () => (isFed ? 1 : 0),
  );

  function readStatement(peer: Peer): Statement {
    return statements.get(peer) ?? NO_STATEMENT;
  }

  function listKnownEntries() {
    const self = { name: selfHost, dataCentre };
    return [...mesh.listEntries(), self];
  }

  function updateOrder() {
    const entries = listKnownEntries();
    order = new Map(
      orderReaders(entries).map(({ name }, index) => [name, index]),
    );
    hasOtherDataCentres = entries.some(
      (entry) => entry.dataCentre !== dataCentre,
    );
    evaluate("members");
  }

  /**
   * Readers that this entry may rely on, the most preferred first. They precede
   * it in the order, so that no two entries rely on each other.
   */
  function listCandidates(): readonly Candidate[] {
    const own = order.get(selfHost) ?? 0;
    const readerCount = countReaders(order.size);
    if (own < readerCount) return [];
    const candidates = mesh
      .peers()
      .filter((peer) => readStatement(peer).isReading)
      .map((peer) => ({
        name: peer.hello.host,
        dataCentre: peer.hello.dataCentre,
        index: order.get(peer.hello.host) ?? Infinity,
        peer,
      }))
      .filter(({ index }) => index < own)
      .sort((a, b) => a.index - b.index);
    return [
      ...rankForEntry(
        selfHost,
        candidates.filter(({ index }) => index < readerCount),
      ),
      ...candidates.filter(({ index }) => index >= readerCount),
    ];
  }

  /** Two readers in different data centres if the fleet has several, or none. */
  function pickPair(candidates: readonly Candidate[]): readonly Peer[] {
    const [first, second] = pickSpreadPair(candidates);
    if (first === undefined || second === undefined) return [];
    const areSpread = first.dataCentre !== second.dataCentre;
    return areSpread || !hasOtherDataCentres ? [first.peer, second.peer] : [];
  }

  function hasAnswered({ peer }: Candidate): boolean {
    const { answeredAtMs } = readStatement(peer);
    return performance.now() - answeredAtMs < ANSWER_VALID_MS;
  }

  function mayAnswer({ peer }: Candidate): boolean {
    return performance.now() - readStatement(peer).lateAtMs > RETRY_LATE_MS;
  }

  /** The two readers that this entry relies on; none if it is to read itself. */
  function chooseReaders(): readonly Peer[] {
    return pickPair(listCandidates().filter(hasAnswered));
  }

  /** Those that this entry relies on, and those that it would rather rely on. */
  function chooseNextToAsk(): Peer | undefined {
    const candidates = listCandidates();
    const peers = new Set([
      ...pickPair(candidates.filter(hasAnswered)),
      ...pickPair(candidates.filter(mayAnswer)),
    ]);
    return [...peers].sort(
      (a, b) => readStatement(a).askedAtMs - readStatement(b).askedAtMs,
    )[0];
  }

  function evaluate(reason: string) {
    if (isClosed) return;
    const readers = chooseReaders();
    const isNowFed = readers.length > 0 && options.ageMs() <= MAX_OWN_AGE_MS;
    if (isNowFed === isFed) return;
    isFed = isNowFed;
    changes.increment({ reason: isFed ? "answered" : reason });
    const names = readers.map(({ hello }) => hello.host);
    if (isFed)
      logger.info({ readers: names }, "relies on entries that read the store");
    else logger.info({ reason, readers: names }, "reads the store itself");
    onChange(isFed);
  }

  function scheduleAsk(delayMs: number) {
    clearTimeout(askTimer);
    if (!isClosed) askTimer = setTimeout(askNext, delayMs);
  }

  function askNext() {
    evaluate("no_reader");
    const peer = chooseNextToAsk();
    if (peer === undefined) return scheduleAsk(CONFIRM_INTERVAL_MS);
    const askedAtMs = performance.now();
    statements.set(peer, { ...readStatement(peer), askedAtMs });
    pending = { peer, askId: ask(peer) };
    clearTimeout(askTimer);
    askTimer = setTimeout(() => onTimeout(peer), ANSWER_TIMEOUT_MS);
  }

  function onTimeout(peer: Peer) {
    pending = undefined;
    if (statements.has(peer)) {
      statements.set(peer, {
        ...readStatement(peer),
        answeredAtMs: -Infinity,
        lateAtMs: performance.now(),
      });
    }
    evaluate("late");
    scheduleAsk(isFed ? 0 : MIN_ASK_INTERVAL_MS);
  }

  function onAnswer(ageMs: number) {
    pending = undefined;
    scheduleAsk(
      isFed
        ? Math.max(MIN_ASK_INTERVAL_MS, CONFIRM_INTERVAL_MS - ageMs)
        : MIN_ASK_INTERVAL_MS,
    );
  }

  mesh.onPeer((peer) => {
    void peer.closed.then(() => {
      statements.delete(peer);
      evaluate("lost");
    });
  });
  mesh.view.onChange(updateOrder);
  mesh.addPeerChooser((view) => {
    const entries = listKnownEntries();
    const readers = orderReaders(entries).slice(
      0,
      countReaders(entries.length),
    );
    if (readers.some(({ name }) => name === selfHost)) return [];
    const ranked = rankForEntry(selfHost, readers);
    const distinct = new Set([...pickSpreadPair(ranked), ...ranked]);
    const wanted = new Set(
      [...distinct].slice(0, WANTED_READERS).map(({ name }) => name),
    );
    return view.hosts().hosts.filter(({ name }) => wanted.has(name));
  });
  updateOrder();
  scheduleAsk(options.random() * MIN_ASK_INTERVAL_MS);

  return {
    isFed: () => isFed,
    isReader: (peer) => readStatement(peer).isReading,
    onNotice(peer, { askId, isReading = false, ageMs = Infinity }) {
      if (peer.isClosed()) return;
      const isAnswer = pending?.peer === peer && pending.askId === askId;
      const isCurrent = isAnswer ? ageMs <= MAX_READER_AGE_MS : true;
      statements.set(peer, {
        ...readStatement(peer),
        isReading: isReading && isCurrent,
        ...(isAnswer && { answeredAtMs: performance.now() }),
      });
      evaluate(isReading ? "no_contact" : "not_reading");
      if (isAnswer) onAnswer(ageMs);
    },
    reset() {
      [...statements].forEach(([peer, statement]) =>
        statements.set(peer, { ...statement, answeredAtMs: -Infinity }),
      );
      evaluate("paused");
    },
    close() {
      isClosed = true;
      clearTimeout(askTimer);
    },
  };
}
