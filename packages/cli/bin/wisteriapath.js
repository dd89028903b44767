#!/usr/bin/env node
// npm links a command only if its file exists at installation. This file exists before the build; dist/ does not.
require('../dist/main.js');
