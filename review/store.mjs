/**
 * Stand-in for the platform's metadata store: items with revisions, range reads
 * and watches, as the protocol page describes them. It is always sound.
 */

import { createServer } from "node:http";

const PAGE_ITEMS = 500;

export async function startStore(port) {
  const items = new Map();
  const history = [];
  let revision = 1;
  let watches = [];

  function append(item) {
    history.push(item);
    const waiting = watches;
    watches = [];
    waiting.forEach((answer) => answer());
  }

  function send(response, body) {
    if (response.destroyed) return;
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  }

  function readRange(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after-rev") ?? "";
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      items: found.slice(0, PAGE_ITEMS),
      "has-more": found.length > PAGE_ITEMS,
      at: revision,
    };
  }

  function watch(query, response) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after-rev"));
    const list = () =>
      history.filter(
        (item) => item.revision > after && item.key.startsWith(prefix),
      );
    const answer = () => {
      clearTimeout(timer);
      watches = watches.filter((other) => other !== answer);
      send(response, { events: list(), at: revision });
    };
    const timer = setTimeout(answer, Number(query.get("wait-ms")));
    if (list().length > 0) return answer();
    watches.push(answer);
    response.on("close", () => {
      clearTimeout(timer);
      watches = watches.filter((other) => other !== answer);
    });
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url, "http://store");
    if (url.pathname === "/-/kv-range") {
      return send(response, readRange(url.searchParams));
    }
    if (url.pathname === "/-/kv-watch") {
      return watch(url.searchParams, response);
    }
    response.writeHead(404).end();
  });
  await new Promise((resolve) => server.listen(port, "127.0.0.1", resolve));

  return {
    address: `127.0.0.1:${port}`,
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
      append(item);
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
