import { asFunction, type AwilixContainer } from 'awilix';
import { ConfigCheckpoints, configCodec, configFold } from '@wisteriapath/config';
import { rolesFold } from '@wisteriapath/ledger';
import { BatchingLog, HttpLog, StreamReplica } from '@wisteriapath/log-client';
import {
  DeathProver,
  HttpInstanceList,
  PeerClients,
  PeerMesh,
  RelayedStreams,
} from '@wisteriapath/peer';
import { createClaimsFold } from '@wisteriapath/routing';
import type InstanceComponents from './InstanceComponents';
import RoleDirectory from './RoleDirectory';

const SECOND_MS = 1_000;
/** A long poll may be long here: the age of a claims stream matters only to those who wait for a record, and they shorten it. */
const CLAIMS_LONG_POLL_MS = 10_000;

/**
 * Registers the clients of the platform (log and instance list), the stream replicas and the links to
 * peers.
 *
 * @example
 * registerPlatform(container);
 */
const registerPlatform = (container: AwilixContainer<InstanceComponents>): void => {
  const singleton = <T>(create: (components: InstanceComponents) => T) =>
    asFunction(create).singleton();
  container.register({
    httpLog: singleton(({ settings }) => new HttpLog(settings.platform.log_url)),
    log: singleton(
      ({ httpLog, clock, settings }) =>
        new BatchingLog(httpLog, clock, settings.platform.log_append_spacing_ms),
    ),
    checkpoints: singleton(({ log, ids }) => new ConfigCheckpoints(log, ids)),
    configReplica: singleton(
      ({ log, clock, checkpoints }) =>
        new StreamReplica(log, 'config', configFold, clock, {
          recover: () => checkpoints.findLatest(),
          codec: configCodec,
        }),
    ),
    rolesReplica: singleton(({ log, clock }) => new StreamReplica(log, 'roles', rolesFold, clock)),
    claimShards: singleton(({ log, clock, settings }) => {
      const { shards, dedupe_window_s: windowS } = settings.claims;
      const fold = createClaimsFold(windowS * SECOND_MS);
      return Array.from(
        { length: shards },
        (_unused, shard) =>
          new StreamReplica(log, `claims-${shard}`, fold, clock, {
            longPollMs: CLAIMS_LONG_POLL_MS,
          }),
      );
    }),
    view: singleton(({ configReplica }) => () => ({
      state: configReplica.state,
      ageMs: configReplica.ageMs(),
    })),

    instanceList: singleton(
      ({ settings }) => new HttpInstanceList(settings.platform.instance_list_url),
    ),
    peerClients: singleton(() => new PeerClients()),
    relayedStreams: singleton(({ configReplica, rolesReplica }) => {
      const relayedStreams = new RelayedStreams();
      relayedStreams.add(configReplica);
      relayedStreams.add(rolesReplica);
      return relayedStreams;
    }),
    peerMesh: singleton(({ self, instanceList, peerClients, relayedStreams, clock, settings }) => {
      const { probe_interval_ms: heartbeatIntervalMs } = settings.roles;
      const identity = {
        name: self.name,
        failureDomain: self.failureDomain,
        incarnation: self.incarnation,
      };
      return new PeerMesh(identity, instanceList, peerClients, relayedStreams, clock, {
        heartbeatIntervalMs,
      });
    }),
    prover: singleton(({ self, peerClients, clock, settings }) => {
      const { proof_probes: probeCount, probe_interval_ms: probeWindowMs } = settings.roles;
      return new DeathProver(self, peerClients, clock, { probeCount, probeWindowMs });
    }),
    roleDirectory: singleton(
      ({ rolesReplica, self }) => new RoleDirectory(rolesReplica, self.incarnation),
    ),
  });
};

export default registerPlatform;
