/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it: an
 * ordered history, range reads in pages, and watches. Nothing is lost, answers
 * are linearizable and take 4 ms.
 */

import { createServer } from "node:http";

const ANSWER_MS = 4;
const PAGE_ITEMS = 50;

export async function startStore() {
  const items = new Map();
  const history = [];
  const waiting = new Set();
  let revision = 1;

  function send(response, status, body) {
    if (response.destroyed) return;
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }

  function readKey(query, response) {
    const item = items.get(query.get("key"));
    const status = item === undefined ? 404 : 200;
    send(response, status, { ...item, at: revision });
  }

  function readRange(query, response) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after-rev") ?? "";
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(response, 200, {
      items: found.slice(0, PAGE_ITEMS),
      "has-more": found.length > PAGE_ITEMS,
      at: revision,
    });
  }

  function watch(query, response) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after-rev"));
    const endMs = performance.now() + Number(query.get("wait-ms"));
    let timer;
    function answerIfDue() {
      const events = history.filter(
        ({ key, revision: at }) => at > after && key.startsWith(prefix),
      );
      if (events.length === 0 && performance.now() < endMs) return false;
      stop();
      send(response, 200, { events, at: revision });
      return true;
    }
    function stop() {
      clearTimeout(timer);
      waiting.delete(answerIfDue);
    }
    if (answerIfDue()) return;
    waiting.add(answerIfDue);
    timer = setTimeout(answerIfDue, endMs - performance.now() + 1);
    response.on("close", stop);
  }

  function add(item) {
    history.push(item);
    [...waiting].forEach((answerIfDue) => answerIfDue());
  }

  const calls = {
    "/-/kv-key": readKey,
    "/-/kv-range": readRange,
    "/-/kv-watch": watch,
  };
  const server = createServer((request, response) => {
    const { pathname, searchParams } = new URL(request.url, "http://store");
    setTimeout(() => {
      const handle = calls[pathname];
      if (handle === undefined) send(response, 404, {});
      else handle(searchParams, response);
    }, ANSWER_MS);
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));

  return {
    address: `127.0.0.1:${server.address().port}`,
    put(key, value) {
      revision += 1;
      const item = {
        key,
        value: Buffer.from(JSON.stringify(value)).toString("base64"),
        revision,
        created: items.get(key)?.created ?? revision,
        lease: 0,
      };
      items.set(key, item);
      add(item);
    },
    remove(key) {
      if (!items.delete(key)) return;
      revision += 1;
      add({ key, revision, removed: true });
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
