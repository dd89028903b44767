import type Deployment from './Deployment';

/** The two deployments in the requirements. */
const deployments: readonly Deployment[] = [
  {
    name: 'Omuriro',
    engines: 11,
    models: 45,
    adapters: 65,
    failureDomains: ['khomas-a', 'khomas-b', 'khomas-c'],
    instances: 6,
    storeLoadsPerS: 3,
  },
  {
    name: 'Wickramasinghe',
    engines: 16,
    models: 40,
    adapters: 95,
    failureDomains: ['colombo-a', 'colombo-b', 'gampaha'],
    instances: 7,
    storeLoadsPerS: 6,
  },
];

export default deployments;
