@0xbee865f3875709ce;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("citronlug::wire");

# Messages between instances. peer.capnp.h and peer.capnp.c++ are generated with
# "capnp compile -oc++ peer.capnp" and committed, so that the build does not need the generator.

struct Heartbeat {
  from @0 :Text;
  run @1 :UInt64;
  tableVersion @2 :UInt64;
  recordVersion @3 :UInt64;
  configVersion @4 :UInt64;
  call @5 :UInt64;
  accepted @6 :Bool;
}

struct PromiseRequest {
  from @0 :Text;
  run @1 :UInt64;
  tableVersion @2 :UInt64;
  call @3 :UInt64;
  subject @4 :Text;
  subjectRun @5 :UInt64;
}

struct Confirmation {
  from @0 :Text;
  call @1 :UInt64;
  granted @2 :Bool;
}

struct TableRequest {
  from @0 :Text;
  tableVersion @1 :UInt64;
  call @2 :UInt64;
}

struct RecordRequest {
  from @0 :Text;
  call @1 :UInt64;
}

struct RecordAnswer {
  from @0 :Text;
  call @1 :UInt64;
  version @2 :UInt64;
  text @3 :Text;
}

struct CellMessage {
  union {
    heartbeat @0 :Heartbeat;
    heartbeatAnswer @1 :Heartbeat;
    promiseRequest @2 :PromiseRequest;
    promiseAnswer @3 :Confirmation;
    tableRequest @4 :TableRequest;
    tableAnswer @5 :Confirmation;
    recordRequest @6 :RecordRequest;
    recordAnswer @7 :RecordAnswer;
  }
}

struct Value {
  union {
    null @0 :Void;
    text @1 :Data;
  }
}

struct Position {
  term @0 :UInt64;
  log @1 :UInt64;
}

struct Request {
  id @0 :Text;
  account @1 :Text;
  key @2 :Text; # public part only
  route @3 :Text;
  database @4 :Text;
  mode @5 :UInt8;
  idempotent @6 :Bool;
  ack @7 :UInt8;
  remainingUs @8 :Int64; # until the deadline
  hasSession @9 :Bool;
  session @10 :Position;
  maxAgeUs @11 :Int64; # -1: none
  step @12 :UInt8;
  transactionEpoch @13 :UInt64;
  transactionNumber @14 :UInt64;
  sql @15 :Data;
  parameters @16 :List(Value);
  entryDomain @17 :Text;
}

struct Answer {
  outcome @0 :UInt8;
  hasError @1 :Bool;
  code @2 :UInt8;
  message @3 :Text;
  retryAfterUs @4 :Int64;
  columns @5 :List(Data);
  cells @6 :List(Value); # row by row
  rowCount @7 :UInt32;
  affected @8 :UInt64;
  reached @9 :Position;
  servedBy @10 :Text;
  fromReplica @11 :Bool;
  replayed @12 :Bool;
  dataAgeUs @13 :Int64;
  transactionEpoch @14 :UInt64;
  transactionNumber @15 :UInt64;
  holderEpoch @16 :UInt64; # epoch under which the holder answered
}

struct Event {
  wallUs @0 :Int64;
  counter @1 :UInt32;
  instance @2 :Text;
  kind @3 :Text;
  detail @4 :Text;
  database @5 :Text;
  account @6 :Text;
  request @7 :Text;
}

struct EventFilter {
  database @0 :Text;
  account @1 :Text;
  request @2 :Text;
  sinceUs @3 :Int64;
  limit @4 :UInt32;
}

# State of one group of backend servers in a report to the coordinator. Times are ages; -1: never.
struct GroupReport {
  group @0 :Text;
  released @1 :UInt64;
  hasAcknowledged @2 :Bool;
  acknowledged @3 :Position;
  answeredUs @4 :Int64;
  failedUs @5 :Int64;
  lostLead @6 :Bool;
}

# Tokens spent by an instance in the span that ended at this age.
struct TokenUse {
  ageMs @0 :UInt32;
  tokens @1 :UInt32;
}

struct TokenQuestion {
  account @0 :Text;
  wanted @1 :UInt32; # 0: only reports uses
  uncounted @2 :List(TokenUse); # uses that the coordinator has not counted
  uncountedTotal @3 :UInt32; # tokens ever listed in uncounted for this coordinator
}

struct TokenAnswer {
  account @0 :Text;
  tokens @1 :UInt32;
  waitUs @2 :Int64;
  share @3 :Float32;
  shareOnly @4 :Bool; # answers no question
}

struct KnownRecord {
  group @0 :Text;
  primary @1 :Text;
  term @2 :UInt64;
  generation @3 :UInt64;
  changing @4 :Bool;
  candidate @5 :Text;
  history @6 :List(Position); # where each term begins
  confirming @7 :List(Text); # servers
}

# Tokens of a cold server: wanted in a report, granted in an answer.
struct ColdTokens {
  server @0 :Text;
  tokens @1 :UInt32;
}

struct InstanceReport {
  instance @0 :Text;
  run @1 :UInt64;
  groups @2 :List(GroupReport);
  questions @3 :List(TokenQuestion);
  peerAddress @4 :Text;
  leaving @5 :Bool;
  number @6 :UInt64; # counts the reports of this run
  base @7 :UInt64; # the report that this one builds on; 0: complete
  recordsVersion @8 :UInt64; # of the records that the instance has; 0: none
  samplesNumber @9 :UInt64; # of the positions that the instance has
  processorShare @10 :Float32;
  runningForMs @11 :UInt32;
  coldRequests @12 :List(ColdTokens);
  knownRecords @13 :List(KnownRecord);
  highestToken @14 :UInt64; # fencing token of any coordinator that the instance has heard of
  lendsTokens @15 :Bool; # can lend tokens to others while there is no coordinator
  requestsTokensOnly @16 :Bool; # to a deputy: only questions is set
}

# Newest position of a primary, by its group's place in the records of the answer's version.
struct GroupSample {
  index @0 :UInt32;
  ageUs @1 :UInt32;
  term @2 :UInt64;
  log @3 :UInt64;
}

struct GroupWord {
  group @0 :Text;
  primary @1 :Text;
  term @2 :UInt64;
  generation @3 :UInt64;
  changing @4 :Bool;
  hasSample @5 :Bool;
  sample @6 :Position;
  sampleAgeUs @7 :Int64;
  history @8 :List(Position); # where each term begins
  confirming @9 :List(Text); # servers
}

struct ReportAnswer {
  holdsDuty @0 :Bool;
  instances @1 :UInt32;
  rulesVersion @2 :UInt64;
  groups @3 :List(GroupWord);
  tokens @4 :List(TokenAnswer);
  token @5 :UInt64;
  renewals @6 :UInt64;
  serversVersion @7 :UInt64;
  recordsVersion @8 :UInt64; # names the state of all records; groups is empty if the instance has it
  samples @9 :List(GroupSample);
  wantsCompleteReport @10 :Bool;
  samplesNumber @11 :UInt64; # counts the positions received since recordsVersion began
  rulesAgeUs @12 :Int64 = -1; # since the store stated that rulesVersion is the newest; -1: unknown
  evacuated @13 :List(Text); # failure domains
  evacuationsAgeUs @14 :Int64 = -1; # since the store was asked for them; -1: unknown
  coldGrants @15 :List(ColdTokens);
  wantsRecords @16 :Bool;
  storeEra @17 :UInt64;
  deputies @18 :List(Text); # addresses of instances that lend tokens without a coordinator
  serversAgeUs @19 :Int64 = -1; # since the store stated that serversVersion is the newest; -1: unknown
}

# Interface of a connection that is not authenticated yet.
interface Gate {
  # Random bytes that the proof for this connection must cover.
  challenge @0 () -> (nonce :Data);
  # proof: HMAC-SHA-512/256 of nonce and sender under the fleet's peer secret.
  enter @1 (from :Text, proof :Data) -> (peer :Peer);
}

interface Peer {
  # Carries the sender's hybrid logical time. The replies of the cell node are returned as results, which
  # avoids a call in the other direction.
  cellMessage @0 (message :CellMessage, wallUs :Int64, counter :UInt32, sender :Text)
      -> (replies :List(CellMessage));
  execute @1 (request :Request) -> (answer :Answer);
  takeGrant @2 (account :Text, wanted :UInt32, remainingUs :Int64)
      -> (held :Bool, tokens :UInt32, waitUs :Int64);
  giveBack @3 (account :Text, tokens :UInt32, ageUs :Int64);
  # Empty text: see compressed, which is set only for a peer that accepts it.
  fetchConfig @4 (version :UInt64, acceptsCompressed :Bool)
      -> (version :UInt64, text :Text, compressed :Data);
  locate @5 (kind :UInt8, name :Text)
      -> (found :Bool, instance :Text, address :Text, epoch :UInt64);
  timeline @6 (filter :EventFilter) -> (events :List(Event));
  ping @7 () -> (configVersion :UInt64);
  cancel @8 (database :Text, account :Text, request :Text);
  report @9 (report :InstanceReport) -> (answer :ReportAnswer);
  # Notifies an instance that has not reported to the coordinator of its address.
  announce @10 (holder :Text, run :UInt64, token :UInt64, address :Text);
  # The coordinator's list of registered backend servers, as a JSON object: name to record.
  # era and revision: the state of the store that the list shows.
  fetchServers @11 (acceptsCompressed :Bool)
      -> (version :UInt64, text :Text, era :UInt64, revision :UInt64, compressed :Data);
}
