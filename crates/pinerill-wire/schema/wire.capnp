@0xc1f5e0f7a2b94d31;
# The internal protocol between pinerill's processes. Field names match the
# Rust types in src/message; see there for meanings and units.

struct Frame {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    request @2 :Request;
    response @3 :Response;
    notification @4 :Notification;
    goodbye @5 :Text;
  }
}

struct Hello {
  protocol @0 :UInt32;
  cluster @1 :Text;
  role @2 :Role;
  name @3 :Text;
  zone @4 :Text;
  replica @5 :UInt64;
  clusterId @6 :UInt64;
  listen @7 :Text;
  nonce @8 :Data;
}

struct Proof { mac @0 :Data; }

enum Role { control @0; node @1; operator @2; }

struct Request {
  union {
    watch @0 :WatchRequest;
    peerDirectory @1 :PeerDirectoryRequest;
    proposeBundle @2 :SignedChange;
    bundleShow @3 :Void;
    bundleStatus @4 :Void;
    submitJob @5 :SubmitJob;
    jobStatus @6 :TenantJob;
    jobOutput @7 :JobOutputRequest;
    cancelJob @8 :TenantJob;
    listJobs @9 :ListJobs;
    leaseItems @10 :LeaseItems;
    endAttempts @11 :EndAttempts;
    renewLeases @12 :RenewLeases;
    clusterInit @13 :ClusterInit;
    clusterStatus @14 :Void;
    replaceReplica @15 :ReplaceReplica;
    transferLeadership @16 :TransferLeadership;
    createGroups @17 :CreateGroups;
    # A message of pinerill-calls, encoded there; opaque to this crate.
    calls @18 :Data;
  }
}

struct Response {
  union {
    watch @0 :WatchResponse;
    peerDirectory @1 :PeerDirectoryResponse;
    proposeBundle @2 :ProposeBundleResponse;
    bundleShow @3 :BundleShown;
    bundleStatus @4 :BundleStatusResponse;
    submitJob @5 :SubmitJobResponse;
    jobStatus @6 :JobStatus;
    jobOutput @7 :JobOutputResponse;
    listJobs @8 :List(JobStatus);
    leaseItems @9 :List(LeasedItem);
    endAttempts @10 :List(AttemptVerdict);
    renewLeases @11 :List(AttemptRef);
    clusterInit @12 :ClusterInitResponse;
    clusterStatus @13 :ClusterStatusResponse;
    replaceReplica @14 :ReplaceReplicaResponse;
    done @15 :Void;
    refused @16 :Refusal;
    # A message of pinerill-calls, encoded there; opaque to this crate.
    calls @17 :Data;
  }
}

struct Notification {
  union {
    replica @0 :List(Envelope);
    none @1 :Void;
  }
}

struct Refusal {
  code @0 :RefusalCode;
  step @1 :Text;
  peer @2 :Text;
  message @3 :Text;
  leader @4 :Text;
  retryAfterMs @5 :UInt64;
  hasRetryAfter @6 :Bool;
}

enum RefusalCode {
  notLeader @0;
  unknownGroup @1;
  unavailable @2;
  outcomeUnknown @3;
  invalid @4;
  notFound @5;
  conflict @6;
  overLimit @7;
  wrongState @8;
}

# Bundles

enum EntryKind { policy @0; operator @1; model @2; service @3; tenant @4; }
struct EntryKey { kind @0 :EntryKind; name @1 :Text; }
struct Entry { key @0 :EntryKey; value @1 :Text; }

struct BundleChange {
  version @0 :UInt64;
  base @1 :Data;
  digest @2 :Data;
  set @3 :List(Entry);
  removed @4 :List(EntryKey);
}

struct SignOff { operator @0 :Text; signature @1 :Text; }
struct SignedChange { change @0 :BundleChange; signOffs @1 :List(SignOff); }
struct Bundle { version @0 :UInt64; entries @1 :List(Entry); }

struct BundleUpdate {
  union {
    none @0 :Void;
    changes @1 :List(BundleChange);
    snapshot @2 :Bundle;
  }
}

struct ProposeBundleResponse { accepted @0 :Bool; version @1 :UInt64; digest @2 :Data; }
struct BundleShown { bundle @0 :Bundle; digest @1 :Data; }
struct NodeBundle { node @0 :Text; zone @1 :Text; version @2 :UInt64; }
struct BundleStatusResponse { version @0 :UInt64; digest @1 :Data; nodes @2 :List(NodeBundle); }

# Directory

enum WorkerState { live @0; leaving @1; gone @2; }

struct WorkerRecord {
  name @0 :Text;
  address @1 :Text;
  zone @2 :Text;
  engines @3 :UInt16;
  state @4 :WorkerState;
  leavingIncarnation @5 :UInt64;
}

struct NodeRecord {
  name @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  draining @3 :Bool;
  bundleVersion @4 :UInt64;
}

struct LeavingSign { worker @0 :Text; incarnation @1 :UInt64; }
struct ServiceBacklog { service @0 :Text; pending @1 :UInt64; }
struct GroupRecord { group @0 :UInt32; leader @1 :Text; backlog @2 :List(ServiceBacklog); }

struct WatchRequest {
  node @0 :NodeRecord;
  bundleDigest @1 :Data;
  zones @2 :List(Text);
  directoryEpoch @3 :UInt64;
  directoryRevision @4 :UInt64;
  leaving @5 :List(LeavingSign);
  waitMs @6 :UInt64;
}

struct WatchResponse {
  confirmed @0 :Bool;
  version @1 :UInt64;
  bundle @2 :BundleUpdate;
  directory @3 :DirectoryUpdate;
}

struct DirectoryUpdate {
  epoch @0 :UInt64;
  revision @1 :UInt64;
  full @2 :Bool;
  workers @3 :List(WorkerRecord);
  removedWorkers @4 :List(Text);
  nodes @5 :List(NodeRecord);
  removedNodes @6 :List(Text);
  groups @7 :List(GroupRecord);
}

struct PeerDirectoryRequest { epoch @0 :UInt64; revision @1 :UInt64; waitMs @2 :UInt64; }

struct PeerDirectoryResponse {
  epoch @0 :UInt64;
  revision @1 :UInt64;
  nodes @2 :List(NodeRecord);
  leaving @3 :List(LeavingSign);
  groups @4 :List(GroupRecord);
}

# Jobs

struct JobId { group @0 :UInt32; sequence @1 :UInt64; }
struct ItemInput { customId @0 :Text; url @1 :Text; body @2 :Text; atMostOnce @3 :Bool; }
enum JobState { receiving @0; inProgress @1; cancelled @2; completed @3; }
enum ItemState { pending @0; leased @1; completed @2; failed @3; cancelled @4; indeterminate @5; }

struct ItemCounts {
  total @0 :UInt32;
  pending @1 :UInt32;
  leased @2 :UInt32;
  completed @3 :UInt32;
  failed @4 :UInt32;
  cancelled @5 :UInt32;
  indeterminate @6 :UInt32;
}

struct JobStatus {
  id @0 :JobId;
  tenant @1 :Text;
  service @2 :Text;
  state @3 :JobState;
  counts @4 :ItemCounts;
  createdMs @5 :UInt64;
  deadlineMs @6 :UInt64;
  expiresMs @7 :UInt64;
}

struct SubmitJob {
  group @0 :UInt32;
  tenant @1 :Text;
  service @2 :Text;
  idempotencyKey @3 :Text;
  bodyDigest @4 :Data;
  totalItems @5 :UInt32;
  deadlineMs @6 :UInt64;
  firstIndex @7 :UInt32;
  items @8 :List(ItemInput);
  openItemsLimit @9 :UInt32;
  attemptsLimit @10 :UInt32;
  retentionMs @11 :UInt64;
}

struct SubmitJobResponse { job @0 :JobId; received @1 :UInt32; state @2 :JobState; }
struct TenantJob { tenant @0 :Text; job @1 :JobId; }
struct JobOutputRequest { tenant @0 :Text; job @1 :JobId; firstIndex @2 :UInt32; limit @3 :UInt32; }

struct ItemResult {
  index @0 :UInt32;
  customId @1 :Text;
  state @2 :ItemState;
  body @3 :Text;
}

struct JobOutputResponse { results @0 :List(ItemResult); nextIndex @1 :UInt32; }
struct ListJobs { group @0 :UInt32; tenant @1 :Text; limit @2 :UInt32; }
struct LeaseWant { service @0 :Text; limit @1 :UInt32; }

struct LeaseItems {
  group @0 :UInt32;
  node @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  wants @4 :List(LeaseWant);
  leaseMs @5 :UInt64;
}

struct LeasedItem {
  job @0 :JobId;
  index @1 :UInt32;
  attempt @2 :UInt32;
  tenant @3 :Text;
  service @4 :Text;
  deadlineMs @5 :UInt64;
  input @6 :ItemInput;
}

struct AttemptRef { job @0 :JobId; index @1 :UInt32; attempt @2 :UInt32; }

struct AttemptReport {
  attempt @0 :AttemptRef;
  union {
    completed @1 :Text;
    failed @2 :Text;
    released @3 :Void;
    indeterminate @4 :Text;
  }
}

struct EndAttempts { group @0 :UInt32; node @1 :Text; reports @2 :List(AttemptReport); }
enum AttemptVerdict { counted @0; late @1; unknown @2; }

struct RenewLeases {
  group @0 :UInt32;
  node @1 :Text;
  leaseMs @2 :UInt64;
  attempts @3 :List(AttemptRef);
}

# Control machines

struct ClusterInit { founding @0 :Bundle; jobGroups @1 :UInt32; voters @2 :UInt32; }

struct ReplicaRecord {
  replica @0 :UInt64;
  name @1 :Text;
  zone @2 :Text;
  address @3 :Text;
  reachable @4 :Bool;
}

struct ClusterInitResponse { clusterId @0 :UInt64; replicas @1 :List(ReplicaRecord); }

struct GroupReport {
  group @0 :UInt32;
  leader @1 :UInt64;
  hasLeader @2 :Bool;
  term @3 :UInt64;
  commit @4 :UInt64;
  applied @5 :UInt64;
  voters @6 :List(UInt64);
  learners @7 :List(UInt64);
  membersCommitted @8 :Bool;
}

struct ClusterStatusResponse {
  clusterId @0 :UInt64;
  replicas @1 :List(ReplicaRecord);
  groups @2 :List(GroupReport);
}

struct GroupVoters { group @0 :UInt32; voters @1 :List(UInt64); }

struct CreateGroups {
  clusterId @0 :UInt64;
  founding @1 :Bundle;
  machines @2 :List(ReplicaRecord);
  groups @3 :List(GroupVoters);
}

struct ReplaceReplica { lost @0 :UInt64; new @1 :UInt64; }
struct ReplaceReplicaResponse { done @0 :UInt32; remaining @1 :UInt32; }
struct TransferLeadership { group @0 :UInt32; to @1 :UInt64; }

# Replicated groups. The types are those of the crate pinerill-replica.

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  union {
    empty @2 :Void;
    command @3 :Data;
    membership @4 :Membership;
  }
}

struct Membership { voters @0 :List(UInt64); learners @1 :List(UInt64); }

struct Envelope {
  group @0 :UInt32;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  union {
    preVoteRequest @4 :LogPosition;
    preVoteResponse @5 :PreVoteResponse;
    voteRequest @6 :VoteRequest;
    voteResponse @7 :Bool;
    appendRequest @8 :AppendRequest;
    appendResponse @9 :AppendResponse;
    commitNotice @10 :UInt64;
    heartbeat @11 :Heartbeat;
    heartbeatResponse @12 :UInt64;
    snapshotChunk @13 :SnapshotChunk;
    snapshotChunkResponse @14 :SnapshotChunkResponse;
    readIndexRequest @15 :UInt64;
    readIndexResponse @16 :ReadIndexResponse;
    timeoutNow @17 :Void;
  }
}

struct LogPosition { index @0 :UInt64; term @1 :UInt64; }
struct PreVoteResponse { requestedTerm @0 :UInt64; granted @1 :Bool; }
struct VoteRequest { last @0 :LogPosition; transfer @1 :Bool; }
struct AppendRequest { previous @0 :LogPosition; entries @1 :List(LogEntry); commit @2 :UInt64; }

struct AppendResponse {
  union {
    accepted @0 :UInt64;
    rejected :group {
      previousIndex @1 :UInt64;
      hintIndex @2 :UInt64;
    }
  }
}

struct Heartbeat { commit @0 :UInt64; round @1 :UInt64; }

struct SnapshotChunk {
  position @0 :LogPosition;
  membership @1 :Membership;
  offset @2 :UInt64;
  bytes @3 :Data;
  done @4 :Bool;
}

struct SnapshotChunkResponse { index @0 :UInt64; nextOffset @1 :UInt64; installed @2 :Bool; }
struct ReadIndexResponse { request @0 :UInt64; index @1 :UInt64; known @2 :Bool; }
