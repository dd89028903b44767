import type AdmittedRequest from './AdmittedRequest';

/** What tells how long a request may take; known before it is admitted. */
type TimedRequest = Pick<AdmittedRequest, 'route' | 'pool' | 'fields' | 'deadlineAtMs'>;

export default TimedRequest;
