/** Client for the gateway under test. */

import { request as httpRequest } from "node:http";

export interface TestResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  readonly isComplete: boolean;
}

export interface TestCallOptions {
  readonly method?: string;
  readonly body?: string;
}

/** Calls the test route with the header names used in tests. */
export function callTestGateway(
  url: string,
  headers: Readonly<Record<string, string>> = {},
  { method = "POST", body: sent = "body" }: TestCallOptions = {},
): Promise<TestResponse> {
  return new Promise((resolve, reject) => {
    let hasResponse = false;
    let hasFailed = false;
    const request = httpRequest(
      `${url}/a/1`,
      {
        method,
        headers: {
          host: "desk.example",
          "x-key": "key-1",
          "x-attempt": "a1",
          ...headers,
        },
      },
      (response) => {
        hasResponse = true;
        let body = "";
        response.on("data", (bytes: Buffer) => (body += bytes.toString()));
        response.on("error", () => undefined);
        response.on("close", () =>
          resolve({
            status: response.statusCode!,
            headers: response.headers,
            body,
            // Node also sets `complete` after a reset of a response without length.
            isComplete: response.complete && !hasFailed,
          }),
        );
      },
    );
    // A reset that arrives with the last bytes is reported as their end. The
    // client's own listener closes the socket, which then has no peer either.
    request.on("socket", (socket) => {
      const onEnd = () => {
        if (socket.remoteAddress === undefined) hasFailed = true;
      };
      socket.prependOnceListener("end", onEnd);
      request.once("close", () => socket.off("end", onEnd));
    });
    // After the response has started, its "close" event gives the outcome.
    request.on("error", (error) => {
      hasFailed = true;
      if (!hasResponse) reject(error);
    });
    request.end(method === "HEAD" ? undefined : sent);
  });
}
