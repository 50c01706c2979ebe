/** Input and output of the operator command; tests replace them. */

export interface CommandIo {
  /** Writes results to standard output; `text` ends with a line feed. */
  write(text: string): void;
  /** Writes usage errors and their help to standard error. */
  writeError(text: string): void;
  readFile(file: string): Promise<string>;
  writeFile(file: string, text: string): Promise<void>;
  /** Sends a GET request and parses the JSON; rejects any other response. */
  fetchJson(url: string): Promise<unknown>;
  nowMs(): number;
}

export const EXIT_OK = 0;
export const EXIT_FINDINGS = 1;
export const EXIT_USAGE = 2;
