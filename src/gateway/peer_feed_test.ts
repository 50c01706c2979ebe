import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import type { Host } from "../membership/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import { NEWS_ASK_ID } from "../wire/mod.ts";
import type { DirectoryReplyNotice, Peer } from "../wire/mod.ts";
import { startPeerFeed } from "./peer_feed.ts";
import type { PeerFeed } from "./peer_feed.ts";
import { countReaders, orderReaders } from "./reader_order.ts";

beforeEach(() => void jest.useFakeTimers());
afterEach(() => void jest.useRealTimers());

const DATA_CENTRES = ["a", "b", "c"];
const ENTRIES = Array.from({ length: 15 }, (_, index) => ({
  name: `entry-${index}`,
  dataCentre: DATA_CENTRES[index % 3]!,
}));

interface FakeEntry {
  readonly name: string;
  readonly feed: PeerFeed;
  readonly peers: Map<string, Peer>;
  isReading: boolean;
  isSilent: boolean;
  askCount: number;
  readonly disconnect: (name: string) => void;
}

/** Entries that are all connected, and whose copies are always young. */
function startFleet(entries = ENTRIES) {
  const fleet = new Map<string, FakeEntry>();
  const reply = (from: FakeEntry, to: FakeEntry, askId: number) => {
    const peer = to.peers.get(from.name);
    if (from.isSilent || peer === undefined) return;
    to.feed.onNotice(peer, {
      ...{ topic: "directory_reply", askId, revision: 1 },
      ...{ ageMs: 100, isReading: from.isReading && !from.feed.isFed() },
    } as DirectoryReplyNotice);
  };
  const announce = (from: FakeEntry) =>
    [...from.peers.keys()].forEach((name) =>
      reply(from, fleet.get(name)!, NEWS_ASK_ID),
    );
  entries.forEach(({ name, dataCentre }) => {
    const closers = new Map<string, () => void>();
    const peers = new Map<string, Peer>();
    const onPeer: ((peer: Peer) => void)[] = [];
    const onViewChange: (() => void)[] = [];
    const hosts = entries
      .filter((other) => other.name !== name)
      .map((other) => ({ ...other }) as unknown as Host);
    const feed = startPeerFeed({
      ...{ selfHost: name, dataCentre, ageMs: () => 100, random: () => 0.5 },
      mesh: {
        peers: () => [...peers.values()],
        onPeer: (handle) => void onPeer.push(handle),
        listEntries: () => hosts,
        view: {
          onChange: (handle: () => void) => void onViewChange.push(handle),
        } as never,
        addPeerChooser: () => undefined,
      },
      ask(peer) {
        entry.askCount += 1;
        const askId = entry.askCount;
        const asked = fleet.get(peer.hello.host)!;
        setTimeout(() => reply(asked, entry, askId), 5);
        return askId;
      },
      onChange: () => announce(entry),
      registry: createRegistry(),
      logger: SILENT_LOGGER,
    });
    hosts.forEach((other) => {
      const closed = new Promise<string>((resolve) =>
        closers.set(other.name, () => {
          peers.delete(other.name);
          resolve("closed");
        }),
      );
      const hello = { host: other.name, dataCentre: other.dataCentre };
      const peer = { hello, closed, isClosed: () => false } as unknown as Peer;
      peers.set(other.name, peer);
      onPeer.forEach((handle) => handle(peer));
    });
    const entry: FakeEntry = {
      ...{ name, feed, peers, isReading: true, isSilent: false, askCount: 0 },
      disconnect: (other) => closers.get(other)?.(),
    };
    fleet.set(name, entry);
  });
  fleet.forEach(announce);
  return { entries: [...fleet.values()], announce };
}

function listReaders(entries: readonly FakeEntry[]): readonly FakeEntry[] {
  return entries.filter(({ feed }) => !feed.isFed());
}

// Guards against calls to the store that grow with the number of entries.
test("two entries in different data centres read for all", async () => {
  const { entries } = startFleet();
  expect(listReaders(entries)).toHaveLength(15);
  await jest.advanceTimersByTimeAsync(3_000);
  const readers = listReaders(entries).map(({ name }) => name);
  expect(readers).toHaveLength(2);
  const [first, second] = readers.map(
    (name) => ENTRIES.find((entry) => entry.name === name)!.dataCentre,
  );
  expect(first).not.toBe(second);
  await jest.advanceTimersByTimeAsync(60_000);
  expect(listReaders(entries).map(({ name }) => name)).toEqual(readers);
});

// Guards against entries that depend on another one: a host that is paused, or
// whose link has stalled, keeps its connections open.
test("entries read by themselves within 1.4 s when both readers fall silent", async () => {
  const { entries } = startFleet();
  await jest.advanceTimersByTimeAsync(3_000);
  const readers = listReaders(entries);
  readers.forEach((reader) => (reader.isSilent = true));
  await jest.advanceTimersByTimeAsync(1_400);
  expect(listReaders(entries).length).toBeGreaterThan(2);
  // One of them reads for the others, beside the silent ones.
  const fed = entries.filter(({ feed }) => feed.isFed());
  await jest.advanceTimersByTimeAsync(5_000);
  expect(listReaders(entries).length).toBeLessThan(6);
  expect(fed.every(({ isSilent }) => !isSilent)).toBe(true);
});

test("the entries notice at once when a reader loses the store or its connections", async () => {
  const { entries, announce } = startFleet();
  await jest.advanceTimersByTimeAsync(3_000);
  const [first, second] = listReaders(entries);
  first!.isReading = false;
  announce(first!);
  expect(listReaders(entries)).toHaveLength(15);
  await jest.advanceTimersByTimeAsync(5_000);
  expect(listReaders(entries).length).toBeLessThanOrEqual(4);
  const before = entries.filter(({ feed }) => feed.isFed());
  before.forEach((entry) => entry.disconnect(second!.name));
  await jest.advanceTimersByTimeAsync(0);
  expect(before.some(({ feed }) => feed.isFed())).toBe(false);
});

// Guards against an entry that goes on by an old copy after a pause.
test("an entry that was paused reads by itself until the readers have answered", async () => {
  const { entries } = startFleet();
  await jest.advanceTimersByTimeAsync(3_000);
  const paused = entries.find(({ feed }) => feed.isFed())!;
  paused.feed.reset();
  expect(paused.feed.isFed()).toBe(false);
  await jest.advanceTimersByTimeAsync(3_000);
  expect(paused.feed.isFed()).toBe(true);
});

test("one or two entries always read", async () => {
  const { entries } = startFleet(ENTRIES.slice(0, 2));
  await jest.advanceTimersByTimeAsync(10_000);
  expect(listReaders(entries)).toHaveLength(2);
});

test("the readers of a large fleet are spread over its data centres", () => {
  const large = Array.from({ length: 400 }, (_, index) => ({
    name: `entry-${index}`,
    dataCentre: `dc-${Math.min(5, Math.floor(index / 40))}`,
  }));
  const readers = orderReaders(large).slice(0, countReaders(large.length));
  expect(readers).toHaveLength(50);
  const counts = [0, 1, 2, 3, 4, 5].map(
    (index) =>
      readers.filter(({ dataCentre }) => dataCentre === `dc-${index}`).length,
  );
  expect(Math.min(...counts)).toBeGreaterThanOrEqual(8);
  expect(orderReaders([...large].reverse())).toEqual(orderReaders(large));
});
