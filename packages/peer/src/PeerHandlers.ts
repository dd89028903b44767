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

/** What an instance does for its peers. A handler that rejects fails only its call. */
interface PeerHandlers {
  hello(request: HelloRequest): Promise<HelloReply>;
  syncBudget(request: SyncBudgetRequest): Promise<SyncBudgetReply>;
  acquire(request: AcquireRequest): Promise<AcquireReply>;
  shareSuspects(request: ShareSuspectsRequest): Promise<ShareSuspectsReply>;
}

export default PeerHandlers;
