/**
 * Stand-in for the platform's store: range reads and watches over HTTP, as the
 * pages describe them. It answers at once and loses nothing.
 */

import { createServer } from "node:http";

export async function startStore() {
  const items = new Map();
  const history = [];
  let revision = 1;
  let waiting = [];

  function write(key, value) {
    revision += 1;
    const item =
      value === undefined
        ? { key, revision, removed: true }
        : {
            key,
            value: Buffer.from(JSON.stringify(value)).toString("base64"),
            revision,
            created: items.get(key)?.created ?? revision,
            lease: 0,
          };
    if (value === undefined) items.delete(key);
    else items.set(key, item);
    history.push(item);
    const woken = waiting.filter(({ prefix }) => key.startsWith(prefix));
    waiting = waiting.filter(({ prefix }) => !key.startsWith(prefix));
    woken.forEach(({ answer }) => answer());
    return revision;
  }

  function send(response, body) {
    if (response.destroyed || response.headersSent) return;
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  }

  function readRange(query, response) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after-rev") ?? "";
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(response, { items: found, "has-more": false, at: revision });
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
      send(response, { events: list(), at: revision });
    };
    const timer = setTimeout(answer, Number(query.get("wait-ms")));
    if (list().length > 0) return answer();
    const watcher = { prefix, answer };
    waiting.push(watcher);
    response.on("close", () => {
      clearTimeout(timer);
      waiting = waiting.filter((other) => other !== watcher);
    });
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url, "http://store");
    if (url.pathname === "/-/kv-range") readRange(url.searchParams, response);
    else if (url.pathname === "/-/kv-watch") watch(url.searchParams, response);
    else response.writeHead(404).end();
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (key, value) => write(key, value),
    remove: (key) => write(key, undefined),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
