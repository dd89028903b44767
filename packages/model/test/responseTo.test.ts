/** No error of a request that may have run becomes a status that promises that it has not. */
import ErrorKind from '../src/ErrorKind';
import ExecutionStatus from '../src/ExecutionStatus';
import ServeError from '../src/ServeError';
import errorResponses from '../src/errorResponses';
import responseTo from '../src/responseTo';

const PROMISES = [408, 421, 429, 503];

describe.each(Object.values(ErrorKind))('the response to an error of kind %s', (kind) => {
  test.each([ExecutionStatus.Unknown, ExecutionStatus.Executed])(
    'promises nothing if the request ran: %s',
    (ran) => {
      const { status } = responseTo(new ServeError(kind, 'x', ran));
      expect(PROMISES).not.toContain(status);
    },
  );

  test('has the status of the kind if the request has not run, and its own wait', () => {
    const { status } = errorResponses[kind];
    const error = ServeError.notExecuted(kind, 'x', 70);
    expect(responseTo(error)).toEqual({ status, retryAfterMs: 70 });
  });
});
