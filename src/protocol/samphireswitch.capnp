@0xd8d53f8cf491b513;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("samphireswitch::protocol::wire");

struct Endpoint {
  address @0 :UInt32;
  port @1 :UInt16;
}

struct FlowKey {
  source @0 :Endpoint;
  destination @1 :Endpoint;
}

struct Candidate {
  agent @0 :UInt64;
  address @1 :UInt32;
  port @2 :UInt16;
}

struct Envelope {
  service @0 :UInt64;
  generation @1 :UInt64;
  origin @2 :Endpoint;
  chain @3 :List(Candidate);
  eligible @4 :UInt8;       # the first so many candidates of the chain may take new work
  hop @5 :UInt8;            # index in the chain of the agent that this envelope is sent to
  directed @6 :Bool;
  grant @7 :UInt64;         # identity of the slot offer that this envelope answers, or 0
  ejected @8 :UInt8;
  leastFeeds @9 :UInt32;
  leastFeedsHop @10 :UInt8;
  packet @11 :Data;
  extended @12 :Bool;
  exhaustive @13 :Bool;     # not sent any more: earlier versions reset the flow at the end of such a search
  search @14 :UInt64;       # identity of a search for a flow's owner, or 0
  deferred @15 :UInt8;      # the last candidates before the unanswered ones: asked before, to be asked again
  unanswered @16 :UInt8;    # the last candidates of the chain, which did not acknowledge
  repeats @17 :UInt8;       # how often the search was repeated for its unanswered candidates
  sender @18 :Endpoint;     # where the receipt goes
  receipt @19 :UInt32;      # number of the receipt that the sender waits for, or 0
  located @20 :UInt64;      # the agent that a location record names as the owner, or 0
  exhaustiveSearch @21 :ExhaustiveSearch;  # set if the search ends at its origin when no agent owns the flow
  isTrial @23 :Bool;        # not sent any more: a copy of the packet for an upstream that may hold the flow
  forbidsTrials @22 :Bool;  # always set: agents of earlier versions have several upstreams try a packet otherwise
  allowsTrial @24 :Bool;    # the last agent that cannot tell may hand the packet to its upstream, if all others deny the flow
}

# State of a search that every agent has to answer. The first three are notes of its origin, which nobody else reads.
struct ExhaustiveSearch {
  begun @0 :UInt64;
  reachableVersion @1 :UInt32;
  knownVersion @2 :UInt32;
  answers @3 :UInt8;        # how many agents have answered, and how many of them
  returned @4 :UInt8;       # got the packet back from their upstream, or
  noUpstream @5 :UInt8;     # have no upstream
}

# An exhaustive search ended, and no agent owns the flow.
struct SearchEnded {
  flow @0 :FlowKey;
  acknowledgementNumber @1 :UInt32;    # of the caller's packet
  search @2 :ExhaustiveSearch;
  lastAgent @3 :Endpoint;
}

# Nobody who was asked accepts the first packet of a flow.
struct FirstPacketRefused {
  flow @0 :FlowKey;
  sequenceNumber @1 :UInt32;           # of the caller's packet
  copy @2 :UInt32;                     # how often the caller had sent it before
  lastAgent @3 :Endpoint;
}

struct Receipt {
  number @0 :UInt32;
}

struct OwnerHint {
  key @0 :FlowKey;
  owner @1 :Candidate;
  generation @2 :UInt64;
}

struct LocatedFlow {
  sourceAddress @0 :UInt32;
  destinationAddress @1 :UInt32;
  sourcePort @2 :UInt16;
  destinationPort @3 :UInt16;
  sequenceNumber @4 :UInt32;   # one that the upstream has used in the flow; 0 if unknown
}

struct LocationRecords {
  owner @0 :Candidate;
  flows @1 :List(LocatedFlow);
  sender @2 :Endpoint;         # data address of the agent that sent the records
}

struct LocationRequest {
  owner @0 :Candidate;
}

struct Waiting {
  service @0 :UInt64;
  sender @1 :Candidate;
  count @2 :UInt32;
  oldestAgeMicroseconds @3 :UInt64;
}

struct SlotOffer {
  service @0 :UInt64;
  sender @1 :Candidate;
  offer @2 :UInt64;
  validityMicroseconds @3 :UInt64;
}

struct OfferDeclined {
  service @0 :UInt64;
  sender @1 :Candidate;
  offer @2 :UInt64;
}

enum MemberState {
  active @0;
  draining @1;
  left @2;
  stopping @3;
}

enum Liveness {
  unconfirmed @0;
  alive @1;
  suspect @2;
  dead @3;
}

enum MemberRole {
  agent @0;
  balancer @1;
}

struct MemberRecord {
  id @0 :UInt64;
  role @1 :MemberRole;
  incarnation @2 :UInt64;
  version @3 :UInt64;
  state @4 :MemberState;
  liveness @5 :Liveness;
  service @6 :UInt64;
  data @7 :Endpoint;
  control @8 :Endpoint;
  name @9 :Text;
  failureDomain @10 :Text;
  linkRate @11 :UInt32;          # of a balancer, in kbit/s; 0 if not set
  processorShare @12 :UInt32;    # of a balancer, in thousandths of a processor; 0 if not set
  upstreamLeftAt @13 :UInt64;    # when the upstream of an agent announced its exit, in ms since the epoch; 0 if it did not
}

struct Announce {
  member @0 :MemberRecord;
  generation @1 :UInt64;
  viewHash @2 :UInt64;         # hash of the records that the last acknowledgement contained
  toRegistrar @3 :Bool;        # heartbeats to this receiver will follow
}

struct Heartbeat {
  id @0 :UInt64;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  generation @3 :UInt64;
  viewHash @4 :UInt64;
  toRegistrar @5 :Bool;
  acknowledge @6 :Bool;
}

struct AnnounceAck {
  generation @0 :UInt64;
  balancers @1 :List(MemberRecord);
  members @2 :List(MemberRecord);
  viewHash @3 :UInt64;
  announceAgain @4 :Bool;      # the registrar does not know this incarnation and version
  configuration @5 :ContentState;
}

struct MemberUpdate {
  records @0 :List(MemberRecord);
}

struct Digest {
  sender @0 :Endpoint;         # control address
  generation @1 :UInt64;
  membershipHash @2 :UInt64;
  configuration @3 :ContentState;
}

# Sent by a balancer that learns of a more recent confirmation of its configuration by the store.
struct ConfirmationNotice {
  generation @0 :UInt64;
  configuration @1 :ContentState;
}

# What the sender says of its configuration beside its generation.
struct ContentState {
  contentHash @0 :UInt64;      # 0 if unknown
  isConfirmed @1 :Bool;        # the store has confirmed the content
  confirmedAgeMilliseconds @2 :UInt32;
}

struct Datagram {
  logicalTime @9 :UInt64;        # Lamport time of the sender
  union {
    envelope @0 :Envelope;
    ownerHint @1 :OwnerHint;
    waiting @2 :Waiting;
    slotOffer @3 :SlotOffer;
    offerDeclined @4 :OfferDeclined;
    announce @5 :Announce;
    announceAck @6 :AnnounceAck;
    memberUpdate @7 :MemberUpdate;
    digest @8 :Digest;
    heartbeat @10 :Heartbeat;
    receipt @11 :Receipt;
    locationRecords @12 :LocationRecords;
    locationRequest @13 :LocationRequest;
    searchEnded @14 :SearchEnded;
    confirmationNotice @15 :ConfirmationNotice;
    firstPacketRefused @16 :FirstPacketRefused;
  }
}

struct ServiceRecord {
  name @0 :Text;
  generation @1 :UInt64;
  removed @2 :Bool;
  address @3 :UInt32;
  requestPort @4 :UInt16;
  feedPort @5 :UInt16;
  idempotent @6 :Bool;
  deadlineMilliseconds @7 :UInt32;
  slots @8 :UInt32;
  connections @9 :UInt32;
  hosts @10 :List(HostRecord);
  plan @11 :Text;
  pools @12 :List(PoolShare);
  healthPath @13 :Text;
  latencyTargetMilliseconds @14 :UInt32;
  priority @15 :UInt8;
  evacuatedDomain @16 :Text;
  coldRequestsPerSecond @17 :Float64;
  slowStartMilliseconds @18 :UInt32;
}

struct PoolShare {
  pool @0 :Text;
  weight @1 :UInt32;
}

enum HostState {
  active @0;
  draining @1;
  stopped @2;
}

struct HostRecord {
  name @0 :Text;
  failureDomain @1 :Text;
  state @2 :HostState;
}

# The changes after generation `from`, or, with a content hash, all records of some buckets.
struct ConfigurationDelta {
  from @0 :UInt64;
  to @1 :UInt64;
  records @2 :List(ServiceRecord);
  bucketCount @3 :UInt16;      # number of buckets into which the services are divided
  buckets @4 :List(UInt16);    # the buckets that the records replace
  content @5 :ContentState;    # of the configuration that results
}

struct Counter {
  name @0 :Text;
  value @1 :Float64;
}

struct Status {
  name @0 :Text;
  role @1 :MemberRole;
  failureDomain @2 :Text;
  generation @3 :UInt64;
  state @4 :Text;
  counters @5 :List(Counter);
  members @6 :List(MemberRecord);
  waitingFor @7 :List(Text);   # what a drain waits for, one line an item
}

struct Event {
  sequence @0 :UInt64;
  process @1 :Text;
  kind @2 :Text;
  wallClockMicroseconds @3 :Int64;
  # A Lamport clock: higher than that of every event whose message this process had received.
  logicalTime @4 :UInt64;
  flow @5 :Text;
  service @6 :Text;
  host @7 :Text;
  generation @8 :UInt64;
  detail @9 :Text;
}

interface Control {
  status @0 () -> (status :Status);
  # With bucket hashes, the answer holds the buckets whose content differs; without, the whole configuration.
  configurationSince @1 (generation :UInt64, service :UInt64, bucketHashes :List(UInt64))
      -> (delta :ConfigurationDelta);
  offerConfiguration @2 (delta :ConfigurationDelta) -> (generation :UInt64, code :UInt32);
  # Records of the buckets whose hash differs from the one given. A list of another length means all buckets.
  membersDiffering @3 (bucketHashes :List(UInt64)) -> (records :List(MemberRecord));
  events @4 (since :UInt64) -> (events :List(Event), next :UInt64);
}
