/** HTTP status codes of responses to callers. */
enum HttpStatus {
  Ok = 200,
  BadRequest = 400,
  Unauthorized = 401,
  Forbidden = 403,
  NotFound = 404,
  Conflict = 409,
  PreconditionFailed = 412,
  TooLarge = 413,
  Unprocessable = 422,
  PreconditionRequired = 428,
  TooManyRequests = 429,
  Internal = 500,
  BadGateway = 502,
  Unavailable = 503,
  GatewayTimeout = 504,
}

export default HttpStatus;
