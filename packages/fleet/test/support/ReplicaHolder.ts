import VirtualClock from '@wisteriapath/virtual-clock';
import {
  comparePositions,
  type KeyedRecord,
  type RecordSpan,
  type StorePosition,
  TopicReplica,
} from '../../src';

/** A replica that remembers the content of each key, by which it tells repeats. */
class ReplicaHolder {
  readonly replica = new TopicReplica(new VirtualClock());

  private readonly content = new Map<string, string>();

  private readonly newest = new Map<string, StorePosition>();

  wentBack = false;

  merge(given: RecordSpan): void {
    const isRepeat = ({ key, value }: KeyedRecord) =>
      value.length > 0 && this.content.get(key) === Buffer.from(value).toString();
    this.replica.merge(given, isRepeat).forEach(({ key, value, position }) => {
      const known = this.newest.get(key);
      if (known !== undefined && comparePositions(known, position) >= 0) this.wentBack = true;
      this.newest.set(key, position);
      this.content.set(key, Buffer.from(value).toString());
    });
  }

  since(from: StorePosition | null): RecordSpan {
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
