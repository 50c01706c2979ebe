/**
 * News of the published state between entries: one that reads the store tells
 * the entries that it is connected to what it has read, at once. News shorten
 * the time until others know a change. They prove nothing about the age of a
 * copy, because they may have been on the way for any time.
 */

import { isSameEra } from "../directory/mod.ts";
import type { Directory, DirectoryChange } from "../directory/mod.ts";
import { NEWS_ASK_ID } from "../wire/mod.ts";
import type { DirectoryReplyNotice, Peer } from "../wire/mod.ts";
import { decodeState, encodeState } from "./state_codec.ts";

/**
 * News name the version of the configuration only, as it is long and each entry
 * watches for it. One that still lacks it after this time asks for it.
 */
const CONFIG_WAIT_MS = 150;

export interface DirectoryNews {
  /** Tells the others about changes that were new to this entry. */
  send(changes: readonly DirectoryChange[]): void;
  /** Tells the others whether this entry reads the store. */
  announce(): void;
  apply(peer: Peer, notice: DirectoryReplyNotice): void;
  close(): void;
}

export interface DirectoryNewsOptions {
  readonly directory: Directory;
  /** Connected entries. */
  readonly listEntries: () => readonly Peer[];
  readonly isReading: () => boolean;
  readonly askForState: (peer: Peer) => void;
}

export function createDirectoryNews(
  options: DirectoryNewsOptions,
): DirectoryNews {
  const { directory, listEntries, isReading, askForState } = options;
  let configTimer: NodeJS.Timeout | undefined;

  function sendToAll(changes: readonly DirectoryChange[]) {
    const notice: DirectoryReplyNotice = {
      topic: "directory_reply",
      askId: NEWS_ASK_ID,
      ...directory.position(),
      configVersion: directory.configVersion(),
      isReading: isReading(),
      ...(changes.length > 0 && encodeState(changes)),
    };
    listEntries().forEach((peer) => peer.sendNotice(notice));
  }

  function checkConfig(peer: Peer, version: number) {
    if (version <= directory.configVersion() || configTimer !== undefined) {
      return;
    }
    configTimer = setTimeout(() => {
      configTimer = undefined;
      if (version > directory.configVersion()) askForState(peer);
    }, CONFIG_WAIT_MS);
  }

  return {
    send(changes) {
      if (changes.length === 0 || !isReading()) return;
      sendToAll(changes.filter(({ type }) => type !== "config"));
    },
    announce: () => sendToAll([]),
    apply(peer, notice) {
      const position = directory.position();
      // Before the first read, the rest of the state is missing.
      if (position.revision === 0 || !isSameEra(notice, position)) return;
      if (notice.state !== undefined) {
        directory.apply(decodeState(notice.state) ?? [], position);
      }
      checkConfig(peer, notice.configVersion ?? 0);
    },
    close: () => clearTimeout(configTimer),
  };
}
