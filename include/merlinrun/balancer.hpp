// The interface of merlinrun: the decisions of a client-side load balancer for service-to-service calls.
//
// A Balancer holds no socket, no clock and no thread. The caller delivers events, each with the current time,
// and carries out the actions that the balancer passes to its ActionSink before the event call returns.
//
// Ownership: a Balancer owns its state and keeps a reference to the sink, which must outlive it. It copies
// what it keeps of an event. Threading: a Balancer may be used by one thread at a time; Balancers share
// nothing. Time: any monotonic microsecond count; an event with an earlier time than the event before it is
// treated as simultaneous with that one.
//
// The caller must deliver one Outcome for each Send and one OnTimer for each SetTimer, and give each request
// an id that this Balancer has not seen before. Events for an unknown request, attempt or server are ignored,
// and so are a second outcome of an attempt and a second OnRequest with the id of a pending request. A
// request of an unknown class fails. Times and settings are assumed to be below 2^60 microseconds.
#ifndef MERLINRUN_BALANCER_HPP_
#define MERLINRUN_BALANCER_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace merlinrun {

using Micros = std::int64_t;

// Whether a request may be sent again after an attempt that may have run.
enum class Repeat {
  kSafe,          // always: the request is idempotent
  kDeduplicated,  // within the deduplication window, to servers that drop repeats of it
  kNever
};

// Which servers recognise and drop the repeats of a deduplicated request.
enum class DedupGroup {
  kAll,   // all servers
  kZone,  // those in the zone of the server that got the first attempt
  kCell   // those in its cell
};

// A class of requests with common latency limits, value and retry rules.
struct RequestClass {
  std::string name;
  Micros latency_target = 0;          // an answer within this time has its full value; 0 = no target
  double latency_target_stretch = 0;  // the target grows by this multiple of the request's own work
  Micros deadline = 0;                // the longest that a client waits, over all its tries
  double value = 1;                   // of one request, or of one unit of its work (see value_by_work)
  double late_value = 0;              // share of the value that an answer after the target still has
  Repeat repeat = Repeat::kNever;
  DedupGroup dedup_group = DedupGroup::kAll;
  Micros dedup_window = 0;  // repeats are dropped for this long after the first send
  bool streamed = false;
  bool sequential = false;  // requests of such classes with the same key run one at a time, in arrival order
};

// A user of the servers with its agreed share.
struct Tenant {
  std::string name;
  double share = 0;        // of the capacity of the servers
  double quota_per_s = 0;  // requests per second over all sidecars; 0 = no limit
};

// The configuration of a deployment. Every figure that depends on the deployment comes from here.
struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  int zone = -1;                    // of this sidecar; -1 = unknown
  std::uint32_t rank = 0;           // the number of this sidecar, from 0
  std::uint32_t sidecar_count = 1;  // sidecars that call the same servers, this one included
  Micros tick = 0;                  // the granularity of event times

  // What the deployment allows, and its limits.
  int max_attempts = 1;  // of one request
  bool parallel_attempts = false;
  bool cancel = false;  // attempts in flight can be cancelled
  bool peers = false;   // sidecars can exchange messages
  bool probes = false;
  Micros max_retry_after = 0;          // clients ignore a longer retry-after; 0 = they ignore any
  int streams_per_connection = 1;      // requests at a time on one connection
  Micros connection_idle = 0;          // idle connections are closed after this time; 0 = unknown
  Micros dial_timeout = 0;             // after this time a dial has failed (kUnreachable); 0 = unknown
  std::int64_t max_open_requests = 0;  // requests that a sidecar can have open at once; 0 = unknown
  std::int64_t cpu_per_s = 0;          // CPU time of a sidecar, in microseconds per second; 0 = unknown
  double cpu_per_request = 0;         // CPU time of a request and its outcomes, in microseconds; 0 = no limit
  bool clients_mark_repeats = false;  // see Request::repeated

  // How servers report their load, and what the weights of the list mean.
  enum class Reports { kNone, kInAnswers, kInProbes } reports = Reports::kNone;
  std::vector<std::string> report_fields;
  enum class Weights { kNone, kNominal, kRough, kLive } weights = Weights::kNone;

  // How the list of servers is received.
  bool must_subscribe = false;  // the balancer has to ask for the list with Subscribe
  Micros ask_within = 0;        // the next Subscribe comes at most this long after the start or a failure
  bool takes_over = false;  // from a process that still serves: changes that it received take effect here too

  // The rules of the servers.
  Micros drain_grace = 0;          // a server that begins to drain may still be sent to for this long
  double slow_start_share = 1;     // share of its full capacity that a server has at its start
  Micros slow_start_duration = 0;  // a server has its full capacity after this time
  // A server in slow start that gets more than overload_factor times its capacity for overload_window breaks
  // down.
  double overload_factor = 1;
  Micros overload_window = 0;
  bool refused_may_have_run = false;  // servers also refuse requests that they began: see Result::kRefused
  // After a timeout, reset or cancellation the next request with the same key waits for this long, as the
  // attempt may still be running.
  Micros settle_after_doubt = 0;

  // Costs: points taken off the overall result of the deployment, each multiplied by the share or rate named
  // here. A first try is the first attempt of a request. The balancer uses only the first three.
  double cost_cross_zone = 0;  // attempts that cross zones, per first try
  double cost_waste = 0;       // share of the server work that yields no answer
  double cost_connection = 0;  // average number of open connections / (100 * servers)
  double cost_late_fail = 0;   // value left unserved after its latency target had passed
  double cost_handshake = 0;   // new connections per first try
  double cost_probe = 0;       // probes per first try
  double cost_peer = 0;        // bytes delivered to peers / (256 * first tries)
  double cost_discovery = 0;   // lines of the server list per first try; in full at 100; key membership_mode
  double cost_moves = 0;       // moves per first try
  double cost_origin = 0;      // fetches from the origin per first try

  // The weights of the parts of the overall result. Not used by the balancer.
  double goal_whole = 1;         // of the whole run
  double goal_worst_10_s = 0;    // of the worst 10 seconds
  double goal_worst_class = 0;   // of the worst class
  double goal_worst_tenant = 0;  // of the worst tenant, within its share
  bool value_by_work = false;    // RequestClass::value is per unit of work, not per request
  // The value of a request beyond its tenant's share, as a fraction of the value of its class. Not used by
  // the balancer.
  double over_share_value = 1;
};

// A server as the list describes it.
struct ServerInfo {
  std::string id;
  int zone = -1;     // -1 = unknown
  int machine = -1;  // the type of machine, as an index; -1 = unknown
  std::int64_t cell = -1;
  double weight = 1;   // relative to the other servers
  Micros started = 0;  // when its process started; 0 = long ago
  enum class State { kHealthy, kDraining, kGone } state = State::kHealthy;
};

// An update of the list of servers.
struct ListUpdate {
  enum class Kind {
    kDelta,   // only the entries that changed
    kFull,    // the full list
    kStale,   // the full list as this sidecar last received it; may be out of date
    kFailed,  // a Subscribe failed or the subscription broke; no entries
  } kind = Kind::kFull;
  std::int64_t version = 0;
  std::span<const ServerInfo> servers;
  // With kFailed: the next Subscribe has to come within this time; missed changes take effect soon after.
  std::optional<Micros> ask_within = std::nullopt;
};

// A request of a client.
struct Request {
  std::string_view id;
  int request_class = 0;  // index in Settings::classes
  int tenant = -1;
  std::optional<Micros> cost;  // expected work
  Micros budget = 0;           // the client gives up after this time
  bool body_pending = false;   // its body is still arriving: its times start at OnRequestBodyComplete
  bool repeated = false;       // the client marks it as a retry of its own
  bool write = false;
  std::string_view key;  // the object that it concerns; empty = none
};

// How an attempt ended, as far as the sidecar can tell.
enum class Result {
  kSuccess,
  kError,        // the server answered with an error; may have run
  kRefused,      // rejected before it ran, unless Settings::refused_may_have_run
  kTimeout,      // may have run, may still be running
  kUnreachable,  // no connection
  kReset,        // the connection broke; may have run
  kCancelled,    // may have run
  kNeverSent,
};

// Whether a result proves that the attempt never ran. Some servers also refuse requests that they have begun
// (Settings::refused_may_have_run); their refusal proves nothing.
constexpr bool ProvesNeverRan(Result result, bool refused_may_have_run) {
  return (result == Result::kRefused && !refused_may_have_run) || result == Result::kUnreachable ||
         result == Result::kNeverSent;
}

// The load that a server reports of itself: delayed and noisy. A value that was not reported is absent, not
// 0.
struct LoadReport {
  std::optional<double> busy;        // requests at the server
  std::optional<double> waiting;     // those of them that wait in its queue
  std::optional<double> cpu;         // utilisation of its cores, 0 to 1
  std::optional<double> service_ms;  // recent service time, without waiting
  std::optional<double> served_per_s;
  std::optional<double> failed_per_s;
};

// The end of an attempt.
struct Outcome {
  std::string_view request;
  int attempt = 0;
  Result result = Result::kSuccess;
  Micros elapsed = 0;
  bool final_answer_sent = false;  // the request's final answer has been sent to the client
  LoadReport load = {};
  bool body_consumed = false;  // its body was passed on without a copy: the request is not replayable
};

// The answer of a server to a probe.
struct ProbeResult {
  std::string_view server;
  Result result = Result::kSuccess;
  Micros elapsed = 0;
  LoadReport load = {};
};

// Receives the decisions of the balancer. It is called from inside the event calls and must not call back
// into the Balancer.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Sends an attempt. The attempts of a request are numbered from 0 in the order of these calls. A timeout of
  // 0 means until the client gives up.
  virtual void Send(std::string_view request, const std::string& server, Micros timeout) = 0;
  // Cancels an attempt in flight; its Outcome is still expected.
  virtual void Cancel(std::string_view request, int attempt) = 0;
  // Ends a request with a refusal: a further try by the client is safe.
  virtual void Refuse(std::string_view request, Micros retry_after) = 0;
  // Ends a request with an error: a further try may not be safe.
  virtual void Fail(std::string_view request) = 0;
  // Asks for an OnTimer with this token after `delay`.
  virtual void SetTimer(Micros delay, std::uint64_t token) = 0;
  // Asks discovery for the list of servers and its changes.
  virtual void Subscribe() = 0;
  virtual void Log(std::string_view text) = 0;
};

// Decides for each request whether it is admitted, which server it is sent to and when it is retried.
class Balancer {
 public:
  // Returns null and sets `error` when the settings are invalid.
  static std::unique_ptr<Balancer> Create(const Settings& settings, std::uint64_t seed, Micros now,
                                          ActionSink& sink, std::string& error);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Applies an update of the list of servers.
  void OnServers(Micros now, const ListUpdate& update);
  // Sets from when on changes of the list that this sidecar has missed take effect: it then has to obey them,
  // received or not. Empty = never: the list is current, or nothing can have changed. Once the grace period
  // of a drain that may have been missed is over, dispatch is paused: requests wait and are then refused. The
  // pause lasts until this time is set anew.
  void OnListStaleness(Micros now, std::optional<Micros> effective_from);
  // Whether dispatch is paused now: nothing new may be written to any server.
  bool DispatchPaused(Micros now);
  // Takes a server administratively down or up again. A server that is down gets no new requests, whatever
  // the list says. One that is up again counts as started at that time, until the list shows another start
  // time than it did before.
  void SetAdminDown(Micros now, std::string_view server, bool down);
  // The learned statistics of load and servers as text, for the process that takes over from this one. That
  // process passes it to RestoreLearnedState after its first list. Text that is invalid, or from another
  // configuration, changes nothing and returns false.
  std::string ExportLearnedState() const;
  bool RestoreLearnedState(Micros now, std::string_view learned);
  // A request has arrived from a client: it is sent, queued, refused or failed.
  void OnRequest(Micros now, const Request& request);
  // The last byte of a request with body_pending has been passed on; the client gives up `budget` from now.
  void OnRequestBodyComplete(Micros now, std::string_view request, Micros budget);
  // The first bytes of an answer have been passed on to the client; the outcome of the attempt still follows.
  void OnResponseStarted(Micros now, std::string_view request, int attempt);
  // An attempt has ended. The request may be sent again, refused or failed.
  void OnOutcome(Micros now, const Outcome& outcome);
  // The client no longer waits for an answer; attempts in flight may be cancelled.
  void OnClientDisconnected(Micros now, std::string_view request);
  // The delay of a SetTimer with this token is over.
  void OnTimer(Micros now, std::uint64_t token);
  // The result of a probe, or a message of another sidecar. Both are unused so far.
  void OnProbed(Micros now, const ProbeResult& probe);
  void OnPeerMessage(Micros now, std::uint32_t sender, std::string_view bytes);

  // Listed servers that get no requests now because they are administratively down or ejected.
  std::size_t servers_avoided(Micros now);
  // Requests on record, including ended ones with an attempt still in flight.
  std::size_t pending_request_count() const;
  // How often the rings were rebuilt from all listed servers instead of updated by single changes.
  std::uint64_t ring_rebuild_count() const;

 private:
  class State;
  explicit Balancer(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_BALANCER_HPP_
