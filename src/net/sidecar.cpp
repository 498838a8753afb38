#include "sidecar.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "short_answer_deadline.hpp"
#include "trace.hpp"

namespace merlinrun::net {
namespace {

// File descriptors for everything but client and server connections: the standard streams, epoll and its
// helpers, the listener, the watch, and connections that are being rejected.
constexpr std::size_t kReservedSockets = 32;
// Share of the remaining descriptors that client connections may use. A pending request takes one descriptor
// on each side. Clients use at most a third of all descriptors for requests, but some of their connections
// are idle, so they get slightly more than half.
constexpr double kClientShare = 0.55;
// One part in this many of the process's memory may hold bodies and answers. The rest is for the program
// itself, other connection buffers, server lists and allocator overhead.
constexpr std::size_t kMemoryBudgetDivisor = 5;
// Idle connections are closed at this fraction of the time after which servers may close them. A request
// that is sent while the server closes the connection is reset, and it is unknown whether it ran.
constexpr double kIdleTimeoutFraction = 0.7;
// How often the shared folder is read. Changes by another process must take effect here within 1 s.
constexpr auto kSharedDirPollInterval = std::chrono::milliseconds(200);
constexpr int kPollsPerHandover = 5;  // polls of the shared folder between two writes of the handover file

// Why a request failed, by the result of its last attempt, for the log.
const char* FailureReason(Result last) {
  switch (last) {
    case Result::kSuccess:
      return "failed after an answer";
    case Result::kError:
      return "failed after an error";
    case Result::kRefused:
      return "failed after a refusal";
    case Result::kTimeout:
      return "failed after a timeout";
    case Result::kUnreachable:
      return "failed after no connection";
    case Result::kReset:
      return "failed after a reset";
    case Result::kCancelled:
      return "failed after a cancel";
    case Result::kNeverSent:
      return "failed without being sent";
  }
  return "failed";
}

std::size_t ClientSockets(const Config& config) {
  return static_cast<std::size_t>(kClientShare *
                                  static_cast<double>(config.descriptor_limit - kReservedSockets));
}

Upstream::Limits UpstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.idle_timeout =
      static_cast<Micros>(kIdleTimeoutFraction * static_cast<double>(config.wire.settings.connection_idle));
  limits.dial_timeout = config.wire.settings.dial_timeout;
  limits.max_connections = config.descriptor_limit - kReservedSockets - ClientSockets(config);
  return limits;
}

Discovery::Timing DiscoveryTiming(const Config& config) {
  Discovery::Timing timing;
  timing.reopens_itself = !config.wire.settings.must_subscribe;
  return timing;
}

// The offset from the steady clock to Unix time, computed once. If it were computed again for each list, the
// start time of one server would change slightly from list to list, and the Balancer would take that for a
// restart and begin a slow start.
Micros ClockOffset() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(wall - steady).count();
}

}  // namespace

Sidecar::Sidecar(asio::io_context& io, Config config)
    : io_(io),
      config_(std::move(config)),
      shared_dir_(config_.accept_fd || config_.management ? config_.shared_dir : ""),
      clock_offset_(ClockOffset()),
      budget_(config_.memory_limit / kMemoryBudgetDivisor),
      request_mapping_(config_),
      counters_(config_.wire.settings.classes.size()),
      upstream_(io, UpstreamLimits(config_), budget_, counters_),
      discovery_(io, config_.discovery, config_.wire, DiscoveryTiming(config_), config_.seed,
                 {.on_list =
                      [this](const EndpointList& list) {
                        OnList(list.full ? ListUpdate::Kind::kFull : ListUpdate::Kind::kDelta, list);
                      },
                  .on_failed = [this](Micros within) { OnDiscoveryFailed(within); },
                  .on_age_changed = [this] { ReportListStaleness(); }}),
      shared_dir_timer_(io),
      answer_log_(io, counters_, pending_requests_) {
  if (config_.accept_fd) shared_dir_.AcquirePresenceLock();
  ShareRecentRequests();
  config_.wire.settings.takes_over = shared_dir_.Scan().other_process_alive;
  std::string error;
  balancer_ = Balancer::Create(config_.wire.settings, config_.seed, Now(), *this, error);
  if (balancer_ == nullptr) throw ConfigError("settings: " + error);
}

Sidecar::~Sidecar() = default;

void Sidecar::Start() {
  Inbound::Events events;
  events.on_request = [this](const Inbound::SessionPtr& session, Message<true> request) {
    OnRequest(session, std::move(request));
  };
  events.on_client_disconnected = [this](const std::string& id) { OnClientDisconnected(id); };
  events.on_memory_exhausted = [this](const RequestHeader& header) { OnRefusedForMemory(header); };
  events.on_invalid_input = [this](const char* reason) { answer_log_.CountUnsuccessful(reason); };
  events.ready = [this] { return Ready(); };
  Inbound::Limits limits;
  limits.max_sessions = ClientSockets(config_);
  inbound_ =
      std::make_unique<Inbound>(io_, config_.listen, config_.accept_fd, limits, budget_, std::move(events));
  if (config_.management) {
    ManagementEndpoint::Handlers handlers;
    handlers.ready = [this] { return Ready(); };
    handlers.stats = [this] { return StatsJson(); };
    handlers.set_admin_down = [this](const std::string& server, bool down) {
      return OnAdminDownCall(server, down);
    };
    management_ = std::make_unique<ManagementEndpoint>(io_, *config_.management, ManagementEndpoint::Limits{},
                                                       std::move(handlers));
  }
  OnList(ListUpdate::Kind::kStale, config_.last_known_list);
  ReportListStaleness();
  discovery_.SetKnownGeneration(
      config_.last_known_list.endpoints.empty() ? Discovery::kUnknown : config_.last_known_list.generation);
  if (config_.wire.settings.takes_over && !balancer_->RestoreLearnedState(Now(), shared_dir_.ReadHandover()))
    std::fprintf(stderr, "shared folder: nothing learnt by the previous process can be used\n");
  if (!config_.wire.settings.must_subscribe) discovery_.Watch();
  if (config_.accept_fd || config_.management) PollSharedDir();
}

void Sidecar::Reload(const Config& config) { discovery_.SwitchTo(config.discovery); }

// ---- Management endpoint ----

bool Sidecar::Ready() const { return shutdown_ == nullptr && upstream_.any_server(); }

std::string Sidecar::StatsJson() {
  nlohmann::ordered_json stats;
  const auto by_class = [&](const char* name, std::uint64_t Counters::ClassCounts::*count) {
    nlohmann::ordered_json& counts = stats[name] = nlohmann::ordered_json::object();
    for (std::size_t i = 0; i < config_.class_names.size(); ++i)
      counts[config_.class_names[i]] = counters_.classes()[i].*count;
  };
  by_class("passed", &Counters::ClassCounts::served);
  by_class("dropped", &Counters::ClassCounts::refused);
  by_class("bad_gateway", &Counters::ClassCounts::failed);
  stats["upstream_tries"] = counters_.attempts();
  stats["in_progress"] = counters_.in_progress();
  stats["known_servers"] = upstream_.known_servers();
  stats["skipped_servers"] = balancer_->servers_avoided(Now());
  return stats.dump() + "\n";
}

// The change is recorded on disk before it is confirmed, so that it outlives this process.
ManagementEndpoint::Reply Sidecar::OnAdminDownCall(const std::string& server, bool down) {
  if (ever_listed_.count(server) == 0) return {http::status::not_found, "never listed\n"};
  if (!(down ? shared_dir_.RecordAdminDown(server) : shared_dir_.ClearAdminDown(server)))
    return {http::status::service_unavailable, "it cannot be recorded; nothing is changed\n"};
  SetAdminDown(server, down);
  return {http::status::ok, down ? "out\n" : "back\n"};
}

void Sidecar::SetAdminDown(const std::string& server, bool down) {
  if (down == (admin_down_.count(server) > 0)) return;
  if (down) {
    admin_down_.insert(server);
    ever_listed_.insert(server);
  } else {
    admin_down_.erase(server);
  }
  std::fprintf(stderr, "by hand: %s %s, %zu servers out\n", down ? "out" : "back",
               SanitizeForLog(server).c_str(), admin_down_.size());
  balancer_->SetAdminDown(Now(), server, down);
  upstream_.SetAdminDown(server, down);
}

// ---- The clock and the list ----

Micros Sidecar::Now() const { return ToBalancerTime(std::chrono::steady_clock::now()); }

Micros Sidecar::ToBalancerTime(std::chrono::steady_clock::time_point time) const {
  const auto since_epoch = time.time_since_epoch();
  return clock_offset_ + std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

void Sidecar::OnList(ListUpdate::Kind kind, const EndpointList& list) {
  EndpointList applied = list;
  applied.full = kind != ListUpdate::Kind::kDelta;
  upstream_.Apply(applied);
  std::vector<ServerInfo> servers;
  servers.reserve(list.endpoints.size());
  for (const Endpoint& endpoint : list.endpoints) {
    servers.push_back(endpoint.info);
    if (management_ != nullptr) ever_listed_.insert(endpoint.info.id);
  }
  balancer_->OnServers(Now(), {kind, list.generation, servers});
}

void Sidecar::ReportListStaleness() {
  const auto effective_at = discovery_.missed_changes_take_effect_at();
  const auto effective_from = effective_at ? std::optional(ToBalancerTime(*effective_at)) : std::nullopt;
  balancer_->OnListStaleness(Now(), effective_from);
}

void Sidecar::OnDiscoveryFailed(Micros within) {
  if (!config_.wire.settings.must_subscribe) return;
  ListUpdate update{ListUpdate::Kind::kFailed, 0, {}};
  update.ask_within = within;
  balancer_->OnServers(Now(), update);
}

// ---- Request handling ----

std::optional<Rejection> Sidecar::Validate(const RequestHeader& request, int request_class) const {
  if (request_class < 0) return Rejection{http::status::not_found, "unknown Req-Kind\n"};
  if (pending_requests_.Contains(std::string(ToStringView(request[kIdHeader]))))
    return Rejection{http::status::conflict, "Req-Id is in use\n"};
  if (recent_requests_.Contains(ToStringView(request[kIdHeader]), std::chrono::steady_clock::now()))
    return Rejection{http::status::conflict, "Req-Id has been used\n"};
  return CheckAgainstClass(request,
                           config_.wire.settings.classes[static_cast<std::size_t>(request_class)].repeat);
}

Micros Sidecar::ComputeDeadline(const RequestHeader& request, std::size_t request_class,
                                Micros complete_at) const {
  const Micros deadline = complete_at + request_mapping_.AnswerTime(request, request_class);
  return shutdown_ == nullptr ? deadline : std::min(deadline, ToBalancerTime(shutdown_->requests_end()));
}

void Sidecar::OnRequest(const Inbound::SessionPtr& session, Message<true> request) {
  const std::string id(ToStringView(request.head[kIdHeader]));
  const int request_class = request_mapping_.ClassIndex(ToStringView(request.head[kClassHeader]));
  if (const auto rejection = Validate(request.head, request_class)) {
    answer_log_.CountUnsuccessful(rejection->text);
    TraceRequest(id, "rejected", [&] { return SanitizeForLog(rejection->text); });
    return Inbound::Reject(session, *rejection);
  }
  const Micros now = Now();
  const Micros deadline = ComputeDeadline(request.head, static_cast<std::size_t>(request_class),
                                          ToBalancerTime(Inbound::RequestIncompleteAt(session)));
  const Micros budget = std::max<Micros>(deadline - now, 0);
  TraceRequest(id, "taken", [&] { return "budget " + FormatSeconds(budget); });

  counters_.StartRequest(static_cast<std::size_t>(request_class));
  PendingRequest& pending = pending_requests_.Add(id);
  pending.request_class = static_cast<std::size_t>(request_class);
  pending.message = std::move(request);
  pending.body_pending = pending.message.remaining != nullptr;
  pending.session = session;
  pending.deadline = deadline;
  pending.timer = std::make_unique<asio::steady_timer>(io_);
  ArmRequestTimer(id, pending);

  // The id and the key are copies: the Balancer may end the request, and free it, before it returns.
  const std::string key = RequestMapping::ObjectKey(pending.message.head);
  balancer_->OnRequest(now, request_mapping_.ForBalancer(id, key, pending, budget));
}

void Sidecar::OnClientDisconnected(const std::string& id) {
  const PendingRequest* const pending = pending_requests_.Find(id);
  if (pending == nullptr) return;
  const std::size_t request_class = pending->request_class;
  if (pending_requests_.TakeSession(id) != nullptr)
    counters_.FinishRequest(request_class, Counters::FinalStatus::kClientDisconnected);
  answer_log_.CountUnsuccessful("left by the client");
  TraceRequest(id, "left by the client");
  balancer_->OnClientDisconnected(Now(), id);
}

void Sidecar::OnUpstreamAnswer(const std::string& id, int attempt, UpstreamAnswer answer) {
  const PendingRequest* const pending = pending_requests_.Find(id);
  const bool unanswered = pending != nullptr && pending->session != nullptr;
  const Result result = answer.result;
  const LoadReport load = answer.load;
  if (result == Result::kSuccess && unanswered) {
    ForwardAnswer(id, std::move(answer));
  } else if (answer.message.remaining != nullptr) {
    answer.message.remaining->Stop();
  }
  FinishAttempt(id, attempt, result, load);
}

void Sidecar::OnRequestWritten(const std::string& id, int number) {
  PendingRequest* const pending = pending_requests_.Find(id);
  if (pending == nullptr || !pending->body_pending) return;
  RequestAttempt& attempt = pending->attempts[static_cast<std::size_t>(number)];
  const Micros now = Now();
  UpdateUploadDeadline(*pending);
  pending->body_pending = false;
  attempt.sent_at = now;
  attempt.expires_at =
      attempt.timeout > 0 ? std::min(pending->deadline, now + attempt.timeout) : pending->deadline;
  ArmRequestTimer(id, *pending);
  balancer_->OnRequestBodyComplete(now, id, std::max<Micros>(pending->deadline - now, 0));
}

void Sidecar::FinishAttempt(const std::string& id, int attempt, Result result, const LoadReport& load) {
  const PendingRequest* const pending = pending_requests_.Find(id);
  if (pending == nullptr) return;
  const auto index = static_cast<std::size_t>(attempt);
  const RequestAttempt& ended = pending->attempts[index];
  if (!ended.in_flight()) return;
  TraceRequest(id, "attempt ended", [&] { return std::to_string(attempt) + " " + ResultName(result); });
  if (NeverRan(*pending, index, result)) recent_requests_.Remove(id);
  const Micros now = Now();
  Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.result = result;
  outcome.elapsed = std::max<Micros>(now - ended.sent_at, 0);
  outcome.final_answer_sent = pending->session == nullptr;
  outcome.body_consumed = pending->body_consumed;
  outcome.load = load;
  pending_requests_.EndAttempt(id, index, result);
  balancer_->OnOutcome(now, outcome);
}

// Whether no attempt of a request can have run, once attempt `ending` has ended with this result.
bool Sidecar::NeverRan(const PendingRequest& pending, std::size_t ending, Result result) const {
  for (std::size_t i = 0; i < pending.attempts.size(); ++i) {
    const std::optional<Result> ended = i == ending ? result : pending.attempts[i].result;
    if (!ended || !ProvesNeverRan(*ended, config_.wire.settings.refused_may_have_run)) return false;
  }
  return true;
}

void Sidecar::OnRefusedForMemory(const RequestHeader& header) {
  const int request_class = request_mapping_.ClassIndex(ToStringView(header[kClassHeader]));
  answer_log_.CountUnsuccessful("out of memory for requests");
  if (request_class < 0) return;
  counters_.StartRequest(static_cast<std::size_t>(request_class));
  counters_.FinishRequest(static_cast<std::size_t>(request_class), Counters::FinalStatus::kRefused);
}

void Sidecar::Respond(const std::string& id, Counters::FinalStatus final_status, HttpResponse response) {
  counters_.FinishRequest(pending_requests_.Find(id)->request_class, final_status);
  Inbound::Respond(pending_requests_.TakeSession(id), Inbound::MakeReply(std::move(response)));
}

// An answer with a streamed body is counted when its last chunk has been written.
void Sidecar::ForwardAnswer(const std::string& id, UpstreamAnswer answer) {
  TraceRequest(id, "answered");
  const PendingRequest& pending = *pending_requests_.Find(id);
  const std::size_t request_class = pending.request_class;
  Inbound::Reply reply;
  reply.message.head.result(http::status::ok);
  if (const auto type = answer.message.head[http::field::content_type]; !type.empty())
    reply.message.head.set(http::field::content_type, type);
  reply.message.buffered = std::move(answer.message.buffered);
  reply.message.remaining = std::move(answer.message.remaining);
  reply.message.length = answer.message.length;
  if (reply.message.remaining != nullptr && !reply.message.length)
    reply.message.remaining = std::make_shared<ShortAnswerDeadline>(
        io_, std::move(reply.message.remaining), reply.message.buffered->size(), pending.deadline - Now());
  reply.reservation = std::move(answer.reservation);
  if (reply.message.remaining == nullptr) {
    counters_.FinishRequest(request_class, Counters::FinalStatus::kServed);
  } else {
    reply.done = [this, request_class](Inbound::Delivery sent) {
      if (sent == Inbound::Delivery::kTruncated)
        answer_log_.CountUnsuccessful("failed in the middle of an answer");
      counters_.FinishRequest(request_class, sent == Inbound::Delivery::kComplete
                                                 ? Counters::FinalStatus::kServed
                                             : sent == Inbound::Delivery::kTruncated
                                                 ? Counters::FinalStatus::kFailed
                                                 : Counters::FinalStatus::kClientDisconnected);
    };
  }
  Inbound::Respond(pending_requests_.TakeSession(id), std::move(reply));
}

void Sidecar::ArmRequestTimer(const std::string& id, PendingRequest& pending) {
  const Micros wait = std::max<Micros>(pending.NextExpiry() - Now(), 0);
  pending.timer->expires_after(std::chrono::microseconds(wait));
  pending.timer->async_wait([this, id](ErrorCode error) {
    if (!error) OnRequestTimer(id);
  });
}

void Sidecar::OnRequestTimer(const std::string& id) {
  const Micros now = Now();
  if (PendingRequest* const upload = pending_requests_.Find(id); upload != nullptr && upload->body_pending) {
    UpdateUploadDeadline(*upload);
    if (now >= upload->deadline && upload->HasAttemptInFlight()) return AbortUpload(*upload);
  }
  FinishExpiredAttempts(id, now);
  PendingRequest* const pending = pending_requests_.Find(id);
  if (pending == nullptr) return;
  if (now < pending->deadline) return ArmRequestTimer(id, *pending);
  if (pending->session == nullptr) return;
  // The Balancer normally ends a request before its deadline. If it did not, the client still gets an answer
  // here.
  answer_log_.CountUnsuccessful("out of time");
  TraceRequest(id, "failed", [] { return std::string("out of time"); });
  Respond(id, Counters::FinalStatus::kFailed,
          PlainTextResponse(http::status::gateway_timeout, "out of time\n"));
  balancer_->OnClientDisconnected(now, id);
}

void Sidecar::UpdateUploadDeadline(PendingRequest& pending) const {
  if (pending.session == nullptr) return;
  pending.deadline = ComputeDeadline(pending.message.head, pending.request_class,
                                     ToBalancerTime(Inbound::RequestIncompleteAt(pending.session)));
}

// The outcomes of the attempts follow, and the Balancer then ends the request.
void Sidecar::AbortUpload(const PendingRequest& pending) {
  std::vector<Upstream::AttemptId> in_flight;
  for (const RequestAttempt& attempt : pending.attempts)
    if (attempt.in_flight()) in_flight.push_back(attempt.upstream_id);
  for (const Upstream::AttemptId attempt : in_flight) upstream_.AbortRequest(attempt);
}

void Sidecar::FinishExpiredAttempts(const std::string& id, Micros now) {
  for (std::size_t i = 0;; ++i) {
    const PendingRequest* const pending = pending_requests_.Find(id);
    if (pending == nullptr || i >= pending->attempts.size()) return;
    const RequestAttempt& attempt = pending->attempts[i];
    if (!attempt.in_flight() || now < attempt.expires_at) continue;
    upstream_.Cancel(attempt.upstream_id);
    FinishAttempt(id, static_cast<int>(i), Result::kTimeout);
  }
}

const char* Sidecar::NotSentReason(const PendingRequest& pending) {
  if (!pending.ClientIsWaiting()) return "client disconnected, or may have";
  return pending.body_consumed ? "body consumed" : "out of time";
}

// ---- Actions requested by the Balancer; none of them may call back into it ----

void Sidecar::Send(std::string_view request, const std::string& server, Micros timeout) {
  const std::string id(request);
  PendingRequest* const found = pending_requests_.Find(id);
  if (found == nullptr) return;
  PendingRequest& pending = *found;
  const Micros now = Now();
  const int number = static_cast<int>(pending.attempts.size());
  RequestAttempt attempt;
  attempt.sent_at = now;
  attempt.timeout = timeout;
  if (pending.body_pending) {
    UpdateUploadDeadline(pending);
  } else {
    attempt.expires_at = timeout > 0 ? std::min(pending.deadline, now + timeout) : pending.deadline;
  }
  const Micros left = std::min(pending.deadline, attempt.expires_at) - now;
  if (!pending.ClientIsWaiting() || pending.body_consumed || left <= 0) {
    TraceRequest(id, "not sent", [&] { return std::string(NotSentReason(pending)); });
    pending.attempts.push_back(attempt);
    asio::post(io_, [this, id, number] { FinishAttempt(id, number, Result::kNeverSent); });
    return;
  }
  Upstream::Events events;
  events.done = [this, id, number](UpstreamAnswer answer) {
    OnUpstreamAnswer(id, number, std::move(answer));
  };
  events.prepare_send = [this, id, number](RequestHeader& header) { return PrepareSend(id, number, header); };
  if (pending.body_pending) {
    events.body_consumed = [this, id] {
      PendingRequest* const consumed = pending_requests_.Find(id);
      if (consumed == nullptr) return;
      consumed->body_consumed = true;
      consumed->message.buffered.reset();
      consumed->message.remaining.reset();
    };
    events.request_written = [this, id, number] { OnRequestWritten(id, number); };
  }
  TraceRequest(id, "sent",
               [&] { return std::to_string(number) + " to " + server + " within " + FormatSeconds(left); });
  recent_requests_.Add(id, std::chrono::steady_clock::now());
  attempt.upstream_id = upstream_.Send(server, RequestMapping::ForServer(pending, left), std::move(events));
  pending.attempts.push_back(attempt);
  if (pending.body_pending || attempt.expires_at < pending.deadline) ArmRequestTimer(id, pending);
}

// The server is told what is left to the client when the request is written: the dial takes a part of it.
bool Sidecar::PrepareSend(const std::string& id, int number, RequestHeader& header) {
  PendingRequest* const pending = pending_requests_.Find(id);
  if (pending == nullptr || !pending->ClientIsWaiting() || balancer_->DispatchPaused(Now())) return false;
  if (pending->body_pending) UpdateUploadDeadline(*pending);
  const RequestAttempt& attempt = pending->attempts[static_cast<std::size_t>(number)];
  const Micros left = std::min(pending->deadline, attempt.expires_at) - Now();
  if (left <= 0) return false;
  RequestMapping::SetDeadline(header, left);
  return true;
}

void Sidecar::Cancel(std::string_view request, int attempt) {
  const std::string id(request);
  const PendingRequest* const pending = pending_requests_.Find(id);
  if (pending == nullptr || attempt < 0 || static_cast<std::size_t>(attempt) >= pending->attempts.size())
    return;
  upstream_.Cancel(pending->attempts[static_cast<std::size_t>(attempt)].upstream_id);
  asio::post(io_, [this, id, attempt] { FinishAttempt(id, attempt, Result::kCancelled); });
}

void Sidecar::Refuse(std::string_view request, Micros retry_after) {
  const std::string id(request);
  const PendingRequest* const pending = pending_requests_.Find(id);
  if (pending == nullptr || pending->session == nullptr) return;
  answer_log_.CountUnsuccessful(pending->attempts.empty() ? "refused unsent" : "refused after attempts");
  TraceRequest(request, "refused");
  HttpResponse response = PlainTextResponse(http::status::service_unavailable, "refused\n");
  if (retry_after > 0) response.set(http::field::retry_after, FormatSeconds(retry_after));
  Respond(id, Counters::FinalStatus::kRefused, std::move(response));
}

void Sidecar::Fail(std::string_view request) {
  const std::string id(request);
  const PendingRequest* const pending = pending_requests_.Find(id);
  if (pending == nullptr || pending->session == nullptr) return;
  const Result last = pending->attempts.empty()
                          ? Result::kNeverSent
                          : pending->attempts.back().result.value_or(Result::kNeverSent);
  answer_log_.CountUnsuccessful(FailureReason(last));
  TraceRequest(request, "failed");
  Respond(id, Counters::FinalStatus::kFailed, PlainTextResponse(http::status::bad_gateway, "failed\n"));
}

void Sidecar::SetTimer(Micros delay, std::uint64_t token) {
  const auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(std::max<Micros>(delay, 0)));
  timer->async_wait([this, timer, token](ErrorCode error) {
    if (!error) balancer_->OnTimer(Now(), token);
  });
}

void Sidecar::Subscribe() {
  asio::post(io_, [this] { discovery_.Watch(); });
}

// The balancer's log lines have the prefix "module:".
void Sidecar::Log(std::string_view text) {
  std::fprintf(stderr, "module: %.*s\n", static_cast<int>(std::min<std::size_t>(text.size(), 400)),
               text.data());
}

// ---- Handover to a new process, and graceful shutdown ----

void Sidecar::ScheduleSharedDirPoll() {
  shared_dir_timer_.expires_after(kSharedDirPollInterval);
  shared_dir_timer_.async_wait([this](ErrorCode error) {
    if (!error) PollSharedDir();
  });
}

// Two processes of one sidecar share the memory and the descriptors of one. The clients bound the number of
// connections in use at once, whichever process serves them, so each process may still open that many; only
// the limits on idle connections and on the memory for bodies are halved.
void Sidecar::PollSharedDir() {
  ShareRecentRequests();
  const SharedDir::Contents contents = shared_dir_.Scan();
  if (contents.other_process_alive != std::exchange(other_process_alive_, contents.other_process_alive)) {
    const std::size_t processes = other_process_alive_ ? 2 : 1;
    budget_.SetLimit(config_.memory_limit / kMemoryBudgetDivisor / processes);
    inbound_->SetSoftLimit(ClientSockets(config_) / processes);
    upstream_.SetSoftLimit(UpstreamLimits(config_).max_connections / processes);
  }
  if (contents.readable) {
    for (const std::string& server : std::set<std::string>(admin_down_))
      if (contents.admin_down.count(server) == 0) SetAdminDown(server, false);
    for (const std::string& server : contents.admin_down) SetAdminDown(server, true);
  }
  // Saves the learned state for the next process. While two processes run, neither writes it: the older one
  // saved its state before the other started.
  if (config_.accept_fd && !other_process_alive_ && shared_dir_polls_++ % kPollsPerHandover == 0)
    shared_dir_.WriteHandover(balancer_->ExportLearnedState());
  if (config_.accept_fd) ScheduleSharedDirPoll();  // without a shared listener there is no other process
}

// Called until it succeeds: the folder may not be writable for a while.
void Sidecar::ShareRecentRequests() {
  const std::string file = shared_dir_.RecentRequestsFile();
  if (!config_.accept_fd || file.empty() || recent_requests_.shared()) return;
  if (!recent_requests_.Share(file) && !std::exchange(sharing_failure_logged_, true))
    std::fprintf(stderr, "shared folder: the ids of recent requests cannot be shared\n");
}

void Sidecar::Drain(std::function<void()> on_drained) {
  if (shutdown_ != nullptr) return;
  upstream_.BeginShutdown();
  GracefulShutdown::Settings settings;
  settings.shared_listener = config_.accept_fd.has_value();
  for (const RequestClass& c : config_.wire.settings.classes)
    settings.longest_deadline = std::max(settings.longest_deadline, c.deadline);
  GracefulShutdown::PendingRequests requests;
  requests.empty = [this] { return pending_requests_.empty(); };
  requests.expire = [this] { ExpirePendingRequests(); };
  shutdown_ = std::make_unique<GracefulShutdown>(io_, *inbound_, settings, std::move(requests),
                                                 std::move(on_drained));
}

// Ends the requests that would outlast the process, which is killed soon: a failure answer now is better
// than none.
void Sidecar::ExpirePendingRequests() {
  const Micros now = Now();
  const std::vector<std::string> ids = pending_requests_.ids();
  for (const std::string& id : ids) {
    PendingRequest& pending = *pending_requests_.Find(id);
    pending.deadline = now;
    for (RequestAttempt& attempt : pending.attempts) attempt.expires_at = std::min(attempt.expires_at, now);
  }
  for (const std::string& id : ids) OnRequestTimer(id);
}

}  // namespace merlinrun::net
