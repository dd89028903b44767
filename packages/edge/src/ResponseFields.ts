/** What a target's answer says beside status and body. */
interface ResponseFields {
  /** Attempt that the answer belongs to; empty if it does not say. */
  readonly attemptId: string;
  /** Whether the target signed for the answer. */
  readonly hasReceipt: boolean;
  /** Whether the target says that it has not run the request. */
  readonly isNotExecuted: boolean;
  /** Whether another target has the address, or the model is absent. */
  readonly isMisdirected: boolean;
  readonly load: {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
  } | null;
}

export default ResponseFields;
