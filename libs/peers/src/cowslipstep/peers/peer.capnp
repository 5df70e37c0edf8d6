@0xd5b1c0f2a9e34a71;

# Messages between daemons. Durations are in milliseconds.

struct Frame {
  # Number of the call, repeated in its reply; zero for messages that need no
  # reply.
  call @0 :UInt64;
  reply @1 :Bool;
  union {
    acknowledgement @2 :Void;
    ask @3 :Ask;
    grant @4 :Grant;
    refusal @5 :Refusal;
    renewal @6 :Renewal;
    release @7 :Release;
    heartbeat @8 :Heartbeat;
    configurationQuery @9 :UInt64;
    configurationCopy @10 :ConfigurationCopy;
    daemonEntry @11 :DaemonEntry;
    ledgerCall @12 :LedgerCall;
    ledgerReply @13 :LedgerReply;
    groupsQuery @14 :Text;
    groupsCopy @15 :List(GroupsDocument);
    loadReport @16 :LoadReport;
    runnersQuery @17 :UInt64;
    runnersCopy @18 :RunnersCopy;
  }
}

struct Cell {
  model @0 :Text;
  failureDomain @1 :Text;
}

struct Request {
  requestId @0 :Text;
  workspace @1 :Text;
  rank @2 :Text;
  model @3 :Text;
  promptTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  timeoutMs @6 :UInt32;
  idempotent @7 :Bool;
  prefixHash @8 :UInt64;
}

# How much of a cell a workspace uses; has no cell if the workspace has no
# limits.
struct CellUse {
  cell @0 :Cell;
  tokensPerS @1 :UInt32;
  inProgress @2 :UInt32;
  ageMs @3 :UInt32;
}

# An entry daemon requests a slot from the dispatcher of a cell.
struct Ask {
  cell @0 :Cell;
  request @1 :Request;
  # Groups on which earlier attempts of the request failed.
  avoid @2 :List(Text);
  # Refuse the slot, rather than queue, if none is free.
  immediate @3 :Bool;
  # Usage of other cells by the workspace.
  uses @4 :List(CellUse);
}

struct Grant {
  requestId @0 :Text;
  group @1 :Text;
  ip @2 :Text;
  port @3 :UInt16;
  # Time until the grant expires unless renewed.
  validMs @4 :UInt32;
  # Time within which the request may be sent to the group.
  startableMs @5 :UInt32;
  use @6 :CellUse;
}

struct Refusal {
  requestId @0 :Text;
  reason @1 :Text;
  retryAfterMs @2 :UInt32;
  use @3 :CellUse;
}

struct Renewal {
  cell @0 :Cell;
  requestId @1 :Text;
  streamedTokens @2 :UInt32;
  group @3 :Text;
  workspace @4 :Text;
  rank @5 :Text;
  promptTokens @6 :UInt32;
}

struct Release {
  cell @0 :Cell;
  requestId @1 :Text;
  streamedTokens @2 :UInt32;
  failed @3 :Bool;
}

struct GroupReadiness {
  group @0 :Text;
  remainingMs @1 :UInt32;
}

struct ReadinessReport {
  # Number of the list of groups; zero for none.
  table @0 :UInt32;
  # Empty if the receiver has the list already.
  groups @1 :List(Text);
  # Remaining time of the groups that are not among the exceptions.
  renewedMs @2 :UInt32;
  exceptions @3 :List(GroupReadiness);
}

# Liveness of a third daemon, passed on in heartbeats.
struct DaemonNews {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;
  stopping @3 :Bool;
}

struct Heartbeat {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  configurationVersion @2 :UInt64;
  stopping @3 :Bool;
  # Number of the list of groups that the sender has from the receiver.
  knownTable @4 :UInt32;
  readiness @5 :ReadinessReport;
  news @6 :List(DaemonNews);
}

struct DaemonEntry {
  name @0 :Text;
  ip @1 :Text;
  port @2 :UInt16;
  failureDomain @3 :Text;
  incarnation @4 :UInt64;
}

struct ConfigurationCopy {
  version @0 :UInt64;
  document @1 :Text;
  # Infinite if the sender does not say it, so that nothing rests on it.
  confirmedAgeS @2 :Float64 = inf;
}

# Copy of the ledger of the groups of one fabric domain, with its version.
struct GroupsDocument {
  version @0 :UInt64;
  document @1 :Text;
}

# Response that is stored for an idempotency key.
struct LedgerAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  hasBody @2 :Bool;
  body @3 :Data;
}

# Operation on the ledger of orders.
struct LedgerCall {
  segment @0 :Text;
  step @1 :Text;
  digest @2 :Text;
  attempt @3 :Text;
  fingerprint @4 :Text;
  answer @5 :LedgerAnswer;
}

struct LedgerReply {
  outcome @0 :Text;
  answer @1 :LedgerAnswer;
}

struct UpstreamLoad {
  upstream @0 :Text;
  requests @1 :UInt32;
  # Requests whose response has not begun, by urgency, most urgent first.
  waiting @2 :List(UInt16);
}

struct ModelDemand {
  model @0 :Text;
  groups @1 :Float32;
  service @2 :Text;
}

struct LoadReport {
  daemon @0 :Text;
  sequence @1 :UInt64;
  configurationVersion @2 :UInt64;
  loads @3 :List(UpstreamLoad);
  demands @4 :List(ModelDemand);
  # Upstreams that left at least one request without a response.
  suspects @5 :List(Text);
  # The sender has received a request from a caller.
  served @6 :Bool;
  # The sender is the controller: it holds the lease for commands to runners.
  keeper @7 :Bool;
  # Runners that answer probes although their registration has expired.
  heard @8 :List(Text);
  runnersRevision @9 :UInt64;
  # The sender is a relay; loads include those of its failure domain.
  relayed @10 :Bool;
  # Loads include those of all daemons but the receiver.
  whole @11 :Bool;
  doubts @12 :List(UpstreamDoubt);
  # Revision up to which the evacuations are known; zero if they are not.
  evacuationsRevision @13 :UInt64;
  evacuated @14 :List(Text);
  # How often the store responded again to the sender after a silence.
  storeSilences @15 :UInt32;
  # The largest number of daemons that the sender, or one whose loads are
  # included, has read from their list.
  daemonsKnown @16 :UInt16;
}

# Number of daemons to which an upstream has not responded lately.
struct UpstreamDoubt {
  upstream @0 :Text;
  daemons @1 :UInt16;
}

struct RunnerDocument {
  name @0 :Text;
  document @1 :Text;
}

struct RunnersCopy {
  revision @0 :UInt64;
  entries @1 :List(RunnerDocument);
  removed @2 :List(Text);
  # The entries are all entries, not only the changed ones.
  whole @3 :Bool;
}
