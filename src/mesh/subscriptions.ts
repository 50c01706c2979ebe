/**
 * Subscriptions of agents at entries. An agent is connected to a dozen entries
 * for its load reports, but needs news of members and of the published state
 * only a few times: from two entries of its data centre and one elsewhere, so
 * that neither the loss of one entry nor that of a data centre leaves it
 * without news.
 */

import type { Host } from "../membership/mod.ts";
import type { Handlers } from "../node/handlers.ts";
import type { Peer, SubscribeNotice } from "../wire/mod.ts";

const LOCAL_SUBSCRIPTIONS = 2;
const REMOTE_SUBSCRIPTIONS = 1;

export interface SubscriptionOptions {
  readonly dataCentre: string;
  /** Entries that this agent may subscribe at, the most preferred first. */
  readonly listPartners: () => readonly Host[];
  readonly findPeer: (host: string) => Peer | undefined;
}

/** The agent's side; `update` is called whenever partners or peers change. */
export function createSubscriptions(options: SubscriptionOptions) {
  const { dataCentre, listPartners, findPeer } = options;
  let subscribed: readonly Peer[] = [];

  function choose(): readonly Peer[] {
    const connected = listPartners().flatMap(
      ({ name }) => findPeer(name) ?? [],
    );
    const isLocal = ({ hello }: Peer) => hello.dataCentre === dataCentre;
    const chosen = [
      ...connected.filter(isLocal).slice(0, LOCAL_SUBSCRIPTIONS),
      ...connected
        .filter((peer) => !isLocal(peer))
        .slice(0, REMOTE_SUBSCRIPTIONS),
    ];
    const others = connected.filter((peer) => !chosen.includes(peer));
    const total = LOCAL_SUBSCRIPTIONS + REMOTE_SUBSCRIPTIONS;
    return [...chosen, ...others.slice(0, total - chosen.length)];
  }

  return {
    update() {
      const wanted = choose();
      wanted
        .filter((peer) => !subscribed.includes(peer))
        .forEach((peer) =>
          peer.sendNotice({ topic: "subscribe", isWanted: true }),
        );
      subscribed
        .filter((peer) => !wanted.includes(peer))
        .forEach((peer) =>
          peer.sendNotice({ topic: "subscribe", isWanted: false }),
        );
      subscribed = wanted;
    },
  };
}

export interface Subscribers {
  list(): readonly Peer[];
  onSubscribe(handler: (peer: Peer) => void): void;
}

/** The entry's side. */
export function createSubscribers(handlers: Handlers): Subscribers {
  const subscribers = new Set<Peer>();
  const subscribeHandlers: ((peer: Peer) => void)[] = [];

  handlers.onNotice("subscribe", (peer, notice) => {
    if (!(notice as SubscribeNotice).isWanted) {
      subscribers.delete(peer);
      return;
    }
    subscribers.add(peer);
    void peer.closed.then(() => subscribers.delete(peer));
    subscribeHandlers.forEach((handle) => handle(peer));
  });

  return {
    list: () => [...subscribers],
    onSubscribe: (handler) => void subscribeHandlers.push(handler),
  };
}
