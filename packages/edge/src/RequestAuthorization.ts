import { ErrorKind, ServeError } from '@wisteriapath/model';
import type { DesiredState, PathRoute } from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import type EdgeDependencies from './EdgeDependencies';
import authorize from './authorize';
import mayRunAgain from './mayRunAgain';
import workspaceOfKey from './workspaceOfKey';

/** What a desired state says of the request. */
interface Authorization {
  readonly state: DesiredState;
  /** The route of the request; undefined if the state has none for it. */
  readonly route: PathRoute | undefined;
  /** Why the state forbids the request; undefined if it allows it. */
  readonly denial: ServeError | undefined;
  /** Whether the key still belongs to the workspace of the request. */
  readonly hasSameOwner: boolean;
}

/** Retry delay for a request that only has to be admitted again. */
const READMISSION_DELAY_MS = 50;

/** What the newest desired state says of a request that was admitted under an earlier one. */
class RequestAuthorization {
  /** Cached, because a waiting request asks at every poll. */
  private last: Authorization;

  constructor(
    private readonly desired: EdgeDependencies['desired'],
    private readonly request: AdmittedRequest,
    private readonly path: string,
  ) {
    const { state, route } = request;
    this.last = { state, route, denial: undefined, hasSameOwner: true };
  }

  /** Why the request is no longer allowed; undefined if it is. */
  get denial(): ServeError | undefined {
    return this.newest.denial;
  }

  /**
   * Why the rest of a stream that has begun may not run elsewhere: its key was withdrawn, or belongs to another workspace. What was sent
   * before its route went may end.
   */
  get denialOfRest(): ServeError | undefined {
    const { denial, hasSameOwner } = this.newest;
    return hasSameOwner ? undefined : denial;
  }

  /** Whether the request may run again, both as it was admitted and by the newest desired state. */
  get isRetryable(): boolean {
    const { route } = this.newest;
    return mayRunAgain(this.request.route) && (route === undefined || mayRunAgain(route));
  }

  private get newest(): Authorization {
    const state = this.desired();
    if (state !== undefined && state !== this.last.state) this.last = this.authorizeAgain(state);
    return this.last;
  }

  private authorizeAgain(state: DesiredState): Authorization {
    const { fields, workspace } = this.request;
    const hasSameOwner = workspaceOfKey(state, fields.key)?.name === workspace?.name;
    return authorize(state, fields, this.path).caseOf<Authorization>({
      Left: (denial) => ({ state, route: undefined, denial, hasSameOwner }),
      Right: ({ route, workspace: owner }) => {
        const message = 'the key now belongs to another workspace';
        const denial =
          owner?.name === workspace?.name
            ? undefined
            : ServeError.notExecuted(ErrorKind.NoTarget, message, READMISSION_DELAY_MS);
        return { state, route, denial, hasSameOwner };
      },
    });
  }
}

export default RequestAuthorization;
