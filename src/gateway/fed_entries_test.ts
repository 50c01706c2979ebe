import { afterEach, expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import { createAgeClock, startDirectoryReader } from "../directory/mod.ts";
import type { DirectoryChange, MetadataStore } from "../directory/mod.ts";
import {
  createConfig,
  createEndpoint,
  createEndpointChange,
  createTestDirectory,
  SILENT_LOGGER,
} from "../directory/testing/mod.ts";
import { startMesh } from "../mesh/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import { findFreePorts } from "../../stand_ins/free_ports.ts";
import { startDirectoryExchange } from "./directory_exchange.ts";

const ENTRY_COUNT = 5;
const RENEWAL_MS = 30;
/** Today's watches over everything, at most one in this time for each entry. */
const UNFED_INTERVAL_MS = 350;

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

/** A store whose endpoints renew their records without a change. */
function startStore() {
  const history: DirectoryChange[] = [
    { type: "config", revision: 1, config: createConfig() },
  ];
  const waiting: (() => void)[] = [];
  let calls = 0;
  const publish = (create: (revision: number) => DirectoryChange) => {
    history.push(create(history.length + 1));
    waiting.splice(0).forEach((check) => check());
  };
  const renew = (id: string, isDraining = false) =>
    publish((revision) =>
      createEndpointChange(createEndpoint({ id, isDraining }), revision),
    );
  const store: MetadataStore = {
    readAll() {
      calls += 1;
      const revision = history.length;
      return Promise.resolve(ok({ revision, changes: [...history] }));
    },
    watch: ({ scope, afterRevision, signal }) =>
      new Promise((resolve) => {
        calls += 1;
        const check = () => {
          const changes = history
            .slice(afterRevision)
            .filter(({ type }) => scope === "everything" || type === "weights");
          if (changes.length === 0) return waiting.push(check);
          return resolve(ok({ revision: history.length, changes }));
        };
        signal.addEventListener("abort", () => resolve(err("aborted")));
        check();
      }),
    readPosition() {
      calls += 1;
      return Promise.resolve(ok({ revision: history.length }));
    },
    close: () => Promise.resolve(),
  };
  const timer = setInterval(() => renew("busy"), RENEWAL_MS);
  closers.push(() => clearInterval(timer));
  return { store, publish, renew, countCalls: () => calls };
}

async function startEntries(store: MetadataStore) {
  const ports = await findFreePorts(ENTRY_COUNT);
  const seeds = [`127.0.0.1:${ports[0]}`];
  return Promise.all(
    ports.map(async (port, index) => {
      const clock = createAgeClock();
      const { directory } = createTestDirectory({ clock });
      const registry = createRegistry();
      const reader = startDirectoryReader({
        ...{ store, directory, clock, registry, logger: SILENT_LOGGER },
        isFed: () => exchange?.isFed() === true,
        onNews: (changes) => exchange?.sendNews(changes),
      });
      const identity = {
        host: `entry-${index}`,
        dataCentre: `dc-${index % 3}`,
      };
      let exchange: ReturnType<typeof startDirectoryExchange> | undefined =
        undefined;
      const mesh = await startMesh({
        ...{ ...identity, role: "entry", peerAddress: `127.0.0.1:${port}` },
        ...{ seeds, readConfig: () => undefined },
        ...{ registry, logger: SILENT_LOGGER },
      });
      exchange = startDirectoryExchange({
        ...{ directory, clock, mesh, logger: SILENT_LOGGER },
        isInOwnRegion: (dataCentre) => dataCentre === identity.dataCentre,
        feed: {
          ...{ selfHost: identity.host, dataCentre: identity.dataCentre },
          ...{ isInContact: reader.isInContact, onEnd: reader.resume },
          ...{ registry, random: Math.random },
        },
      });
      const close = () => {
        exchange.close();
        reader.close();
        return mesh.close();
      };
      closers.push(close);
      return { directory, isFed: exchange.isFed, close };
    }),
  );
}

function wait(ms: number) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function waitUntil(isTrue: () => boolean, limitMs = 10_000) {
  const startedAtMs = performance.now();
  while (!isTrue() && performance.now() - startedAtMs < limitMs) await wait(5);
  expect(isTrue()).toBe(true);
  return performance.now() - startedAtMs;
}

// Guards against calls to the store that grow with the number of entries, and
// against entries that learn of a leaving endpoint later for it.
test("entries that are fed call the store rarely and know changes as soon", async () => {
  const { store, publish, renew, countCalls } = startStore();
  const entries = await startEntries(store);
  const countFed = () => entries.filter(({ isFed }) => isFed()).length;
  await waitUntil(() => countFed() === ENTRY_COUNT - 2);
  const before = countCalls();
  const agesMs: number[] = [];
  for (let step = 0; step < 20; step += 1) {
    await wait(100);
    agesMs.push(...entries.map(({ directory }) => directory.ageMs()));
  }
  const unfedCalls = (ENTRY_COUNT * 2_000) / UNFED_INTERVAL_MS;
  expect(countCalls() - before).toBeLessThan(unfedCalls / 2);
  expect(Math.max(...agesMs)).toBeLessThan(1_600);
  renew("leaves", true);
  publish((revision) => ({
    ...{ type: "weights", revision, model: "m", version: 2 },
  }));
  await waitUntil(
    () =>
      entries.every(
        ({ directory }) =>
          directory.endpoint("leaves")?.isDraining === true &&
          directory.wantedWeights("m").length === 1,
      ),
    700,
  );
  // Without the two readers, the others read by themselves.
  await Promise.all(
    entries.filter(({ isFed }) => !isFed()).map(({ close }) => close()),
  );
  renew("next", true);
  await waitUntil(
    () =>
      entries.filter(
        ({ directory }) => directory.endpoint("next") !== undefined,
      ).length >=
      ENTRY_COUNT - 2,
    1_500,
  );
}, 30_000);

// Guards against a copy that counts as confirmed although it differs: a record
// that changed and changed back is not news to a reader that missed both.
test("an entry whose copy differs from its readers' gets what it lacks", async () => {
  const { store, renew } = startStore();
  const entries = await startEntries(store);
  renew("flips");
  await waitUntil(
    () =>
      entries.some(({ isFed }) => isFed()) &&
      entries.every(
        ({ directory }) => directory.endpoint("flips") !== undefined,
      ),
  );
  const fed = entries.find(({ isFed }) => isFed())!;
  const position = fed.directory.position();
  const wrong = createEndpoint({ id: "flips", isDraining: true });
  fed.directory.apply(
    [createEndpointChange(wrong, position.revision)],
    position,
  );
  expect(fed.directory.endpoint("flips")!.isDraining).toBe(true);
  renew("flips");
  await waitUntil(
    () => fed.directory.endpoint("flips")?.isDraining === false,
    3_000,
  );
}, 30_000);
