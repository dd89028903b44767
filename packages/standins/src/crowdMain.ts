/**
 * `node crowdMain.js HOST PORT`: runs clients that do not behave until it is ended; standard input is an array of `CrowdGroup` as JSON.
 */
import { text } from 'node:stream/consumers';
import CrowdClient from './CrowdClient';
import type CrowdGroup from './CrowdGroup';

const [, , host, port] = process.argv;

const run = async (): Promise<void> => {
  const groups = JSON.parse(await text(process.stdin)) as readonly CrowdGroup[];
  groups.forEach((group) => {
    for (let count = 0; count < group.clients; count += 1) {
      new CrowdClient({ host, port: Number(port) }, group).open();
    }
  });
};

void run();
