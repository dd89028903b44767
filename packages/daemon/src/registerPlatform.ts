import { asFunction, type AwilixContainer } from 'awilix';
import { ConfigCheckpoints, configCodec, configFold } from '@wisteriapath/config';
import { rolesFold } from '@wisteriapath/ledger';
import { BatchingLog, HttpLog, StreamReplica } from '@wisteriapath/log-client';
import {
  DeathProver,
  HttpInstanceList,
  PeerClients,
  PeerMesh,
  StreamSet,
} from '@wisteriapath/peer';
import { createClaimsFold } from '@wisteriapath/routing';
import type Cradle from './Cradle';
import RoleDirectory from './RoleDirectory';

const SECOND_MS = 1_000;
/** Nothing depends on the age of a claims stream, only on its records. */
const CLAIMS_POLL_MS = 10_000;

/**
 * Registers the clients of the platform and the links to peers.
 *
 * @example
 * registerPlatform(container);
 */
const registerPlatform = (container: AwilixContainer<Cradle>): void => {
  const single = <T>(create: (cradle: Cradle) => T) => asFunction(create).singleton();
  container.register({
    httpLog: single(({ settings }) => new HttpLog(settings.platform.log_url)),
    log: single(
      ({ httpLog, clock, settings }) =>
        new BatchingLog(httpLog, clock, settings.platform.log_append_spacing_ms),
    ),
    checkpoints: single(({ log, ids }) => new ConfigCheckpoints(log, ids)),
    configReplica: single(
      ({ log, clock, checkpoints }) =>
        new StreamReplica(log, 'config', configFold, clock, {
          recover: () => checkpoints.findLatest(),
          codec: configCodec,
        }),
    ),
    rolesReplica: single(({ log, clock }) => new StreamReplica(log, 'roles', rolesFold, clock)),
    claimShards: single(({ log, clock, settings }) => {
      const { shards, dedupe_window_s: windowS } = settings.claims;
      const fold = createClaimsFold(windowS * SECOND_MS);
      return Array.from(
        { length: shards },
        (_unused, shard) =>
          new StreamReplica(log, `claims-${shard}`, fold, clock, { longPollMs: CLAIMS_POLL_MS }),
      );
    }),
    view: single(({ configReplica }) => () => ({
      state: configReplica.state,
      ageMs: configReplica.ageMs(),
    })),

    instanceList: single(
      ({ settings }) => new HttpInstanceList(settings.platform.instance_list_url),
    ),
    peerClients: single(() => new PeerClients()),
    streams: single(({ configReplica, rolesReplica }) => {
      const streams = new StreamSet();
      streams.add(configReplica);
      streams.add(rolesReplica);
      return streams;
    }),
    mesh: single(({ self, instanceList, peerClients, streams, clock, settings }) => {
      const { probe_interval_ms: heartbeatMs } = settings.roles;
      const identity = {
        name: self.name,
        failureDomain: self.failureDomain,
        incarnation: self.incarnation,
      };
      return new PeerMesh(identity, instanceList, peerClients, streams, clock, { heartbeatMs });
    }),
    prover: single(({ self, peerClients, clock, settings }) => {
      const { proof_probes: probes, probe_interval_ms: intervalMs } = settings.roles;
      return new DeathProver(self, peerClients, clock, { probes, intervalMs });
    }),
    roles: single(({ rolesReplica, self }) => new RoleDirectory(rolesReplica, self.incarnation)),
  });
};

export default registerPlatform;
