/** Builds meet each other while they are rolled out: the names of what instances send stay. */
import { suspectUpdateCodec } from '../src';

const update = {
  crashes: [{ crashId: 'c', hasEnded: true, ageMs: 5, sentBeforeMs: 2, traits: ['part:a'] }],
  clearances: [{ trait: 'part:b', crashIds: ['c'] }],
  probes: [['part:a', 5_000, 'claim']] as const,
};

test('an update keeps the names of its fields in what is sent', () => {
  expect(suspectUpdateCodec.encode(update)).toMatchInlineSnapshot(`
   {
     "acquittals": [
       {
         "crashIds": [
           "c",
         ],
         "trait": "part:b",
       },
     ],
     "crashes": [
       {
         "ageMs": 5,
         "crashId": "c",
         "hasEnded": true,
         "sentBeforeMs": 2,
         "traits": [
           "part:a",
         ],
       },
     ],
     "trials": [
       [
         "part:a",
         5000,
         "claim",
       ],
     ],
   }
  `);
});

test('what was sent is decoded to the same update', () => {
  expect(suspectUpdateCodec.decode(suspectUpdateCodec.encode(update))).toEqual(update);
});
