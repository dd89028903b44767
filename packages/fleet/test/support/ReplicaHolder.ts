import VirtualClock from '@wisteriapath/virtual-clock';
import { type KeyedRecord, type RecordSpan, TopicReplica } from '../../src';

/** A replica that remembers the content of each key, by which it tells repeats. */
class ReplicaHolder {
  readonly replica = new TopicReplica(new VirtualClock());

  private readonly content = new Map<string, string>();

  private readonly newestOffsets = new Map<string, number>();

  wentBack = false;

  merge(given: RecordSpan): void {
    const isRepeat = ({ key, value }: KeyedRecord) =>
      value.length > 0 && this.content.get(key) === Buffer.from(value).toString();
    this.replica.merge(given, isRepeat).forEach(({ key, value, offset }) => {
      if ((this.newestOffsets.get(key) ?? -1) >= offset) this.wentBack = true;
      this.newestOffsets.set(key, offset);
      this.content.set(key, Buffer.from(value).toString());
    });
  }

  since(from: number | null): RecordSpan {
    return this.replica.since(from, () => 0);
  }

  get applied(): readonly string[] {
    return [...this.content]
      .filter(([, text]) => text !== '')
      .map(([key, text]) => `${key}=${text}`)
      .sort();
  }
}

export default ReplicaHolder;
