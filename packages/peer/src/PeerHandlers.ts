import type {
  AcquireReply,
  AcquireRequest,
  HelloReply,
  HelloRequest,
  ShareSuspectsReply,
  ShareSuspectsRequest,
  SyncBudgetReply,
  SyncBudgetRequest,
} from './generated/peer';

/** The handlers for the calls of peers. If a handler rejects, only its call fails. */
interface PeerHandlers {
  hello(request: HelloRequest): Promise<HelloReply>;
  syncBudget(request: SyncBudgetRequest): Promise<SyncBudgetReply>;
  acquire(request: AcquireRequest): Promise<AcquireReply>;
  shareSuspects(request: ShareSuspectsRequest): Promise<ShareSuspectsReply>;
}

export default PeerHandlers;
