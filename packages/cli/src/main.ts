#!/usr/bin/env node
/** The `wisteriapath` command line. */
import './serveSignals';
import runCommandLine from './runCommandLine';

void runCommandLine();
