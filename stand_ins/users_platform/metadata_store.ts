/**
 * Stand-in for the platform's metadata store: items with revisions, range reads
 * and watches. Tests can make it unavailable or slow, stop its watch events,
 * compact its history and restore it from an older copy.
 */

import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

export interface StoreFaults {
  /** Rejects every call with status 503. */
  isDown: boolean;
  delayMs: number;
  /** Pending watches receive no events, as on a stalled connection. */
  areWatchesStalled: boolean;
  /** Share of the range reads that the rate limit refuses with status 429. */
  limitedShare: number;
  /** Items in each response to a range read. */
  pageItems: number;
}

/** The state at some moment, from which the store can be restored. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, StoreItem>;
  readonly history: readonly StoreItem[];
  readonly revision: number;
}

export interface MetadataStoreStandIn {
  readonly address: string;
  readonly faults: StoreFaults;
  /** Number of calls received so far, by name. */
  readonly calls: ReadonlyMap<string, number>;
  put(key: string, value: unknown): void;
  remove(key: string): void;
  /** Compacts the history: watches from an earlier revision get status 410. */
  compactHistory(): void;
  takeCopy(): StoreCopy;
  /** Begins a new era: later writes are lost, and revisions are reused. */
  restore(copy: StoreCopy): void;
  /** Called before each response to a range read; tests restore the store. */
  onRangeRead(handler: () => void): void;
  close(): void;
}

interface StoreItem {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
  readonly created?: number;
  readonly lease?: number;
  readonly removed?: boolean;
}

interface Watcher {
  readonly prefix: string;
  notify(): void;
}

const PAGE_ITEMS = 500;

export async function startMetadataStore(): Promise<MetadataStoreStandIn> {
  let items = new Map<string, StoreItem>();
  const calls = new Map<string, number>();
  const faults: StoreFaults = {
    isDown: false,
    delayMs: 0,
    areWatchesStalled: false,
    limitedShare: 0,
    pageItems: PAGE_ITEMS,
  };
  let history: StoreItem[] = [];
  let era = 1;
  let revision = 1;
  let handleRangeRead = () => {};
  let limitedReads = 0;
  let compactedRevision = 0;
  let watchers: Watcher[] = [];
  let watchResponses: readonly ServerResponse[] = [];

  function appendToHistory(item: StoreItem) {
    history.push(item);
    if (faults.areWatchesStalled) return;
    const isWatched = ({ prefix }: Watcher) => item.key.startsWith(prefix);
    const ended = watchers.filter(isWatched);
    watchers = watchers.filter((watcher) => !isWatched(watcher));
    ended.forEach(({ notify }) => notify());
  }

  function readRange(query: URLSearchParams) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after-rev") ?? "";
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      items: found.slice(0, faults.pageItems),
      "has-more": found.length > faults.pageItems,
      at: revision,
    };
  }

  function startWatch(query: URLSearchParams, response: ServerResponse) {
    const after = Number(query.get("after-rev"));
    const prefix = query.get("prefix") ?? "";
    if (after < compactedRevision || after > revision) {
      return send(response, 410, {});
    }
    const listEvents = () =>
      history.filter(
        ({ key, revision: at }) => at > after && key.startsWith(prefix),
      );
    const answer = () =>
      send(response, 200, { events: listEvents(), at: revision });
    if (listEvents().length > 0 && !faults.areWatchesStalled) return answer();
    const timer = setTimeout(answer, Number(query.get("wait-ms")));
    watchResponses = [...watchResponses, response];
    response.on("close", () => {
      clearTimeout(timer);
      watchers = watchers.filter((other) => other !== watcher);
      watchResponses = watchResponses.filter((other) => other !== response);
    });
    const watcher = {
      prefix,
      notify() {
        clearTimeout(timer);
        answer();
      },
    };
    watchers.push(watcher);
  }

  function send(response: ServerResponse, status: number, body: unknown) {
    if (response.destroyed) return;
    response.writeHead(status, {
      "content-type": "application/json",
      "store-era": era,
    });
    response.end(JSON.stringify(body));
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://store");
    const name = url.pathname.replace("/-/", "");
    calls.set(name, (calls.get(name) ?? 0) + 1);
    if (faults.isDown) return send(response, 503, {});
    setTimeout(() => {
      if (name === "kv-range") {
        limitedReads += faults.limitedShare;
        if (limitedReads >= 1) {
          limitedReads -= 1;
          return send(response, 429, {});
        }
        handleRangeRead();
        send(response, 200, readRange(url.searchParams));
      } else if (name === "kv-watch") startWatch(url.searchParams, response);
      else send(response, 404, {});
    }, faults.delayMs);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;

  return {
    address: `127.0.0.1:${port}`,
    faults,
    calls,
    put(key, value) {
      revision += 1;
      const text = typeof value === "string" ? value : JSON.stringify(value);
      const item: StoreItem = {
        key,
        value: Buffer.from(text).toString("base64"),
        revision,
        created: items.get(key)?.created ?? revision,
        lease: 0,
      };
      items.set(key, item);
      appendToHistory(item);
    },
    remove(key) {
      revision += 1;
      items.delete(key);
      appendToHistory({ key, revision, removed: true });
    },
    compactHistory() {
      history = [];
      compactedRevision = revision;
      watchers = [];
    },
    takeCopy: () => ({
      items: new Map(items),
      history: [...history],
      revision,
    }),
    restore(copy) {
      era += 1;
      items = new Map(copy.items);
      history = [...copy.history];
      revision = copy.revision;
      compactedRevision = Math.min(compactedRevision, revision);
      watchers = [];
      watchResponses.forEach((response) => response.destroy());
    },
    onRangeRead(handler) {
      handleRangeRead = handler;
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
