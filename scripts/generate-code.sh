#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code. Needs the Debian package flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/../src"
for schema in libprotocol/frame.fbs libagent/agent_state.fbs citroncrank-agent/upgrade_state.fbs libpacket/node_message.fbs libpacket/flow_snapshot.fbs; do
    flatc --cpp --scoped-enums -o "$(dirname "$schema")/generated" "$schema"
done
