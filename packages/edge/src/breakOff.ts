import type { ServerResponse } from 'node:http';

/**
 * Closes the connection of a response so that the response does not look complete: in order where its chunks show that it is
 * not, otherwise by a reset.
 *
 * @example
 * if (!isWhole) breakOff(response);
 */
const breakOff = (response: ServerResponse): void => {
  const { socket, headersSent, chunkedEncoding } = response;
  if (socket !== null && headersSent && !chunkedEncoding) socket.resetAndDestroy();
  else response.destroy();
};

export default breakOff;
