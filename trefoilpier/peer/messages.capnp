# Messages between entry VMs. A reader ignores unknown fields and union members;
# a change that readers must not ignore increments `major`.
@0xb7d3a1f06c5e4921;

struct Envelope {
  major @0 :UInt16;
  minor @1 :UInt16;
  sender @2 :Text;
  configVersion @3 :UInt64;
  union {
    hello @4 :Hello;
    subQuery @5 :SubQuery;
    partial @6 :Partial;
    cancel @7 :Cancel;
    versionsQuery @8 :VersionsQuery;
    versionsReply @9 :VersionsReply;
    manifestPull @10 :ManifestPull;
    manifestReply @11 :ManifestReply;
    objectsPull @12 :ObjectsPull;
    objectsReply @13 :ObjectsReply;
    ping @14 :Ping;
    ack @15 :Ack;
    pingRequest @16 :PingRequest;
    notice @17 :Notice;
    nodesPull @18 :NodesPull;
    nodesReply @19 :NodesReply;
  }
}

struct Hello {
  nonce @0 :Data;
}

struct Snapshot {
  configVersion @0 :UInt64;
  group @1 :Text;
  epoch @2 :UInt64;
  indexVersion @3 :UInt64;
}

struct SubQuery {
  id @0 :Text;
  service @1 :Text;
  snapshot @2 :Snapshot;
  shards @3 :List(UInt32);
  deadlineMs @4 :UInt32;
  softDeadlineMs @5 :UInt32;
  query @6 :Data;
  key @7 :Text;
  limit @8 :UInt32;
}

struct Miss {
  shard @0 :UInt32;
  reason @1 :Text;
}

struct ShardVersions {
  shard @0 :UInt32;
  versions @1 :List(UInt64);
}

struct Partial {
  id @0 :Text;
  code @1 :Text;
  snapshot @2 :Snapshot;
  answered @3 :List(UInt32);
  missing @4 :List(Miss);
  result @5 :Data;
  ran @6 :Text;
  retryAfterMs @7 :UInt32;
  calls @8 :UInt32;
  extra @9 :UInt32;
  offered @10 :List(UInt64);
  waitMs @11 :UInt32;
}

struct Cancel {
  id @0 :Text;
}

struct VersionsQuery {
  id @0 :Text;
  group @1 :Text;
  blocks @2 :List(Text);
}

struct VersionsReply {
  id @0 :Text;
  shards @1 :List(ShardVersions);
}

struct ManifestPull {
  id @0 :Text;
}

struct ManifestReply {
  id @0 :Text;
  manifest @1 :Data;
}

struct ObjectsPull {
  id @0 :Text;
  hashes @1 :List(Text);
}

struct ObjectsReply {
  id @0 :Text;
  objects @1 :List(Data);
}

struct Node {
  id @0 :Text;
  host @1 :Text;
  peerPort @2 :UInt16;
  callerPort @3 :UInt16;
  region @4 :Text;
  zone @5 :Text;
  incarnation @6 :UInt64;
  state @7 :UInt8;
}

struct Ping {
  sequence @0 :UInt64;
  news @1 :List(Node);
  leavingLeaves @2 :List(Text);
}

struct Ack {
  sequence @0 :UInt64;
  news @1 :List(Node);
  leavingLeaves @2 :List(Text);
}

struct PingRequest {
  sequence @0 :UInt64;
  target @1 :Text;
  news @2 :List(Node);
}

struct Notice {
  hops @0 :UInt8;
}

struct NodesPull {
  id @0 :Text;
  digests @1 :List(UInt64);
}

struct NodesReply {
  id @0 :Text;
  nodes @1 :List(Node);
}
