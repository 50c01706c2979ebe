/** Framing of HTTP response bodies (RFC 9112, 6.3). */

/** Headers by lower-case name; repeated headers have a list of values. */
export type HttpHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

export interface ResponseHead {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  readonly headers: HttpHeaders;
}

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

export function hasBody({
  method,
  status,
}: Omit<ResponseHead, "headers">): boolean {
  return (
    method !== "HEAD" &&
    status !== STATUS_NO_CONTENT &&
    status !== STATUS_NOT_MODIFIED
  );
}

/**
 * True if the body is delimited only by the close of the connection. A transfer
 * coding other than chunked does not delimit it.
 */
export function hasCloseDelimitedBody(head: ResponseHead): boolean {
  return (
    hasBody(head) &&
    head.headers["content-length"] === undefined &&
    !isChunked(head.headers)
  );
}

function isChunked({ "transfer-encoding": value }: HttpHeaders): boolean {
  const codings = [value ?? ""].flat().join(",").split(",");
  return codings.at(-1)!.trim().toLowerCase() === "chunked";
}
